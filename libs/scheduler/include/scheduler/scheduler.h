#pragma once

// Decides which waiting tasks start where. The scheduler holds what waits; the fleet and the team
// ledger hold what is in use. It reads no clock, opens no socket and writes no record: the caller
// commits its decisions and tells it what became of them.

#include <scheduler/round_types.h>
#include <scheduler/scheduler_core.h>
