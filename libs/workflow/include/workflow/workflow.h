#pragma once

// Workflows: jobs of several steps, the configuration that routes them, and the replicated state
// that remembers which run of which task was given to which worker.

#include <workflow/command.h>
#include <workflow/records.h>
#include <workflow/routing_config.h>
#include <workflow/workflow_spec.h>
#include <workflow/workflow_state.h>
