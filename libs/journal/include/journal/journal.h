#pragma once

// Durable storage under one data folder: a log of checksummed records, snapshot files and one small
// metadata file. All of it goes through FileSystem, so that tests can inject faults of the disk.

#include <journal/durable_log.h>
#include <journal/file_system.h>
#include <journal/memory_file_system.h>
#include <journal/metadata_file.h>
#include <journal/snapshot_store.h>
