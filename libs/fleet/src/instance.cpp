#include <fleet/instance.h>

namespace gooseberry {

Resources freeCapacity(const Instance &instance)
{
    const auto used = add(instance.promised, instance.reserved);
    if (!used) {
        return {};
    }
    // A worker that announced itself again with a smaller size may have less than is promised.
    return subtract(instance.spec.capacity, *used).value_or(Resources{});
}

} // namespace gooseberry
