#pragma once

// The bytes of messages between control instances, of log entries and of snapshots: conversion
// between plain structs and Thrift's compact protocol. The message format is described in
// gooseberry.thrift; Thrift's own headers do not appear here.

#include <protocol/codec.h>
#include <protocol/peer_message.h>
