#include <fleet/instance.h>

namespace gooseberry {

Resources freeCapacity(const Instance &instance)
{
    const auto used = add(instance.allocated, instance.reserved);
    if (!used) {
        return {};
    }
    // A worker may have announced a new capacity that is smaller than its allocated resources.
    return subtract(instance.spec.capacity, *used).value_or(Resources{});
}

} // namespace gooseberry
