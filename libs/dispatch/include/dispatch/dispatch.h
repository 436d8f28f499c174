#pragma once

// Task scheduling on the leader: places tasks on workers, starts and stops their runs, and tracks
// the results. Decisions are free functions over plain structs. Each scheduler holds the state of
// one upstream under its own lock.

#include <dispatch/advice_candidates.h>
#include <dispatch/adviser_access.h>
#include <dispatch/command_sink.h>
#include <dispatch/customer_ledger.h>
#include <dispatch/dispatch_observer.h>
#include <dispatch/dispatch_settings.h>
#include <dispatch/dispatcher.h>
#include <dispatch/live_workflow.h>
#include <dispatch/occurrence_load.h>
#include <dispatch/run_evidence.h>
#include <dispatch/step_urgency.h>
#include <dispatch/task_placement.h>
#include <dispatch/upstream_scheduler.h>
#include <dispatch/upstream_worker.h>
#include <dispatch/worker_orders.h>
