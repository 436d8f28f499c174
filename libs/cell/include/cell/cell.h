#pragma once

// The state that all replicas of a cell share, the commands that change it, and the coordinator
// that decides on behalf of the cell while this instance leads.

#include <cell/cell_state.h>
#include <cell/command.h>
#include <cell/command_log.h>
#include <cell/config_table.h>
#include <cell/coordinator.h>
#include <cell/job_table.h>
#include <cell/observer.h>
#include <cell/requests.h>
#include <cell/worker_port.h>
