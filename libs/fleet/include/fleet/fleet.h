#pragma once

// The machines of the cell: instances in racks, racks in failure domains, failure domains in
// regions, and the upstreams that run on them.

#include <fleet/failure_domain.h>
#include <fleet/fleet_table.h>
#include <fleet/instance.h>
#include <fleet/upstream.h>
