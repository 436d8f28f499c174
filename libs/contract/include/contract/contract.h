#pragma once

// What operators, customers and the system have agreed on: who may submit what, to which share and
// up to which limit, and for how long a worker or a caller may rely on a promise. The types are
// plain structs; the free functions next to them check or compare, and hold no state.

#include <contract/cell_config.h>
#include <contract/customer.h>
#include <contract/declaration.h>
#include <contract/document.h>
#include <contract/job_spec.h>
#include <contract/key.h>
#include <contract/lease.h>
#include <contract/limit.h>
#include <contract/plan.h>
#include <contract/quantity.h>
#include <contract/queue.h>
#include <contract/reservation.h>
#include <contract/share.h>
#include <contract/team.h>
#include <contract/team_ledger.h>
