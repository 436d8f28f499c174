#pragma once

// Durable storage in one data folder: a log of checksummed records, snapshot files and a small
// metadata file. All I/O goes through FileSystem, so that tests can inject disk faults.

#include <journal/durable_log.h>
#include <journal/file_system.h>
#include <journal/memory_file_system.h>
#include <journal/metadata_file.h>
#include <journal/snapshot_store.h>
