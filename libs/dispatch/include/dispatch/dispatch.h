#pragma once

// The duties of the leader: which run of which task goes to which worker, when, and what became of
// it. Decisions are free functions over plain structs; schedulers hold the state of one upstream
// each, under a lock of their own.

#include <dispatch/advice_candidates.h>
#include <dispatch/adviser_access.h>
#include <dispatch/command_sink.h>
#include <dispatch/customer_ledger.h>
#include <dispatch/dispatch_observer.h>
#include <dispatch/dispatch_settings.h>
#include <dispatch/dispatcher.h>
#include <dispatch/live_workflow.h>
#include <dispatch/step_urgency.h>
#include <dispatch/task_placement.h>
#include <dispatch/upstream_scheduler.h>
#include <dispatch/upstream_worker.h>
#include <dispatch/worker_orders.h>
