#pragma once

// Serialization of messages between control instances, of log entries and of snapshots: converts
// between plain structs and Thrift's compact protocol. gooseberry.thrift defines the message
// format; the public headers don't expose Thrift.

#include <protocol/codec.h>
#include <protocol/peer_message.h>
