#pragma once

// The duties of the leader: which run of which task goes to which worker, when, and what became of
// it. Decisions are free functions over plain structs; boards hold the state of one upstream each,
// under a lock of their own.

#include <dispatch/advice_choice.h>
#include <dispatch/customer_ledger.h>
#include <dispatch/dispatcher.h>
#include <dispatch/live_work.h>
#include <dispatch/observer.h>
#include <dispatch/placement_choice.h>
#include <dispatch/ports.h>
#include <dispatch/settings.h>
#include <dispatch/upstream_board.h>
#include <dispatch/upstream_worker.h>
#include <dispatch/urgency.h>
