#pragma once

// The replicated state of a cell, the commands that change it, and the coordinator that makes the
// cell's decisions on the leader.

#include <cell/cell_state.h>
#include <cell/command.h>
#include <cell/command_log.h>
#include <cell/config_table.h>
#include <cell/coordinator.h>
#include <cell/job_table.h>
#include <cell/observer.h>
#include <cell/requests.h>
#include <cell/worker_port.h>
