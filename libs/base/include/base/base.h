#pragma once

// Basic types shared by all other libraries: identifiers, resource quantities, errors and clocks.
// They contain no scheduling logic and depend only on the C++ library and the system.

#include <base/address.h>
#include <base/clock.h>
#include <base/error.h>
#include <base/identifiers.h>
#include <base/resources.h>
