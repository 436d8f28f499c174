#pragma once

// One control instance: its settings and the parts that it is assembled from.

#include <control/control_instance.h>
#include <control/instance_metrics.h>
#include <control/local_log.h>
#include <control/settings.h>
