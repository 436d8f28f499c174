#pragma once

// Assigns waiting tasks to instances. The scheduler keeps the waiting tasks; the fleet and the team
// ledger keep the resources in use. It reads no clock, opens no sockets and stores nothing: the
// caller commits its decisions and reports their results.

#include <scheduler/round_types.h>
#include <scheduler/scheduler_core.h>
