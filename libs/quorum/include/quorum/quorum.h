#pragma once

// A replicated log based on Raft: leader election with pre-vote, leader lease, log replication,
// commit by a majority of voters, snapshots and membership changes. The protocol is implemented as
// free functions over plain structs; Replica runs it with a journal, a clock and a transport.

#include <quorum/messages.h>
#include <quorum/replica.h>
