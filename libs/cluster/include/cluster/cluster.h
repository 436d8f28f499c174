#pragma once

// A node of a cell that discovers its members, and the requests that front ends pass to it.

#include <cluster/advice_router.h>
#include <cluster/cell_links.h>
#include <cluster/cluster_node.h>
#include <cluster/leader_requests.h>
#include <cluster/leader_service.h>
#include <cluster/membership_step.h>
#include <cluster/node_metrics.h>
#include <cluster/node_settings.h>
#include <cluster/pause_detector.h>
#include <cluster/request_attempts.h>
#include <cluster/requests.h>
#include <cluster/workflow_log.h>
