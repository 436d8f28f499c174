#pragma once

// Scheduling decisions as free functions over plain structs. The functions keep no state, read no
// clock and open no sockets; the current time is an argument. Every decision carries a Reason,
// which appears in the decision log and in the output of "gooseberryctl explain".

#include <policy/admission.h>
#include <policy/advice_budget.h>
#include <policy/correction.h>
#include <policy/descriptor_budget.h>
#include <policy/evacuation.h>
#include <policy/late_work.h>
#include <policy/order_failure.h>
#include <policy/ordering.h>
#include <policy/placement.h>
#include <policy/placement_retry.h>
#include <policy/preemption.h>
#include <policy/quarantine.h>
#include <policy/reason.h>
#include <policy/reservation.h>
#include <policy/retry.h>
#include <policy/routing.h>
#include <policy/running_task.h>
