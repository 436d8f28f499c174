#pragma once

// The connections of an instance: an HTTP server for callers, workers and operators, an HTTP
// client for workers, and links to other control instances. Messages are plain structs; neither
// Asio nor Beast appears here.

#include <link/executor.h>
#include <link/http_client.h>
#include <link/http_message.h>
#include <link/http_server.h>
#include <link/peer_network.h>
