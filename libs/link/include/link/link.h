#pragma once

// The connections of an instance: an HTTP server for callers, workers and operators and an HTTP
// client for workers and other instances. Messages are plain structs; neither Asio nor Beast
// appears here.

#include <link/executor.h>
#include <link/http_client.h>
#include <link/http_message.h>
#include <link/http_server.h>
