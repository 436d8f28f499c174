#pragma once

// The HTTP and JSON front end: parses requests into plain structs, passes them to the coordinator
// and writes the replies. It holds no state of its own, so another front end can use the same
// coordinator.

#include <gateway/http_gateway.h>
#include <gateway/http_worker_port.h>
#include <gateway/json_codec.h>
