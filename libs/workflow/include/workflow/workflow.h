#pragma once

// Workflows (jobs of several steps), the configuration that routes them, and the replicated state
// that records the assignment of task runs to workers.

#include <workflow/command.h>
#include <workflow/occurrence_set.h>
#include <workflow/records.h>
#include <workflow/routing_config.h>
#include <workflow/rules_in_force.h>
#include <workflow/workflow_spec.h>
#include <workflow/workflow_state.h>
