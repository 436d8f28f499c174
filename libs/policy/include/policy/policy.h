#pragma once

// Decisions as free functions over plain structs. Nothing here holds state, reads a clock or opens
// a socket; time is an argument. Every decision carries a Reason, which the decision log line and
// "gooseberryctl explain" share.

#include <policy/admission.h>
#include <policy/correction.h>
#include <policy/evacuation.h>
#include <policy/ordering.h>
#include <policy/placement.h>
#include <policy/preemption.h>
#include <policy/quarantine.h>
#include <policy/reason.h>
#include <policy/reservation.h>
#include <policy/retry.h>
#include <policy/routing.h>
#include <policy/running_task.h>
