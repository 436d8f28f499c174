#pragma once

// Agreements between operators, customers and the system: who may submit which jobs, with which
// share and up to which limit, and how long a lease or a reservation is valid. The types are plain
// structs; the free functions next to them check or compare them and are stateless.

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
