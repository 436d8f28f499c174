#pragma once

// The operators' command line: what gooseberryctl does, as a library that tests can call.

#include <operator/cell_client.h>
#include <operator/run.h>
