#pragma once

// The HTTP and JSON front end: reads requests into plain structs, hands them to the coordinator
// and writes the replies. It holds no state of its own, so another front end can stand next to it.

#include <gateway/http_gateway.h>
#include <gateway/http_worker_port.h>
#include <gateway/json_codec.h>
