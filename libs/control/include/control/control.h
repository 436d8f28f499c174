#pragma once

// One control instance: its settings and the parts that it is assembled from.

#include <control/cell_network.h>
#include <control/control_instance.h>
#include <control/instance_metrics.h>
#include <control/replicated_log.h>
#include <control/settings.h>
