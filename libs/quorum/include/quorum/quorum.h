#pragma once

// A replicated log of the project's own: election with pre-vote and leader lease, replication,
// commit by a majority of voters, snapshots and membership. Decisions are free functions over
// plain structs; Replica drives them with a journal, a clock and a transport.

#include <quorum/messages.h>
#include <quorum/replica.h>
