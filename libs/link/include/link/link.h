#pragma once

// Network connections of an instance: an HTTP server for callers, workers and operators, an HTTP
// client for workers, and links to other control instances. Messages are plain structs; the public
// headers don't expose Asio or Beast.

#include <link/executor.h>
#include <link/http_client.h>
#include <link/http_message.h>
#include <link/http_server.h>
#include <link/peer_network.h>
#include <link/request_budget.h>
