#pragma once

// Vocabulary types that every other library shares: identifiers, quantities of resources, errors
// and clocks. They carry no behaviour of the scheduler and no dependency besides the C++ library.

#include <base/address.h>
#include <base/clock.h>
#include <base/error.h>
#include <base/identifiers.h>
#include <base/resources.h>
