#include <dispatch/customer_ledger.h>

namespace gooseberry {

namespace {

bool exceeds(std::int64_t amount, std::int64_t limit)
{
    return limit > 0 && amount > limit;
}

} // namespace

bool CustomerLedger::tryReserve(const CustomerId &customer, const Resources &amount,
                                const Resources &limit)
{
    const std::lock_guard lock(this->mutex);
    Resources &held = this->amounts[customer];
    const auto sum = add(held, amount);
    if (!sum || exceeds(sum->cpu.value, limit.cpu.value)
        || exceeds(sum->memory.value, limit.memory.value)
        || exceeds(sum->accelerators.value, limit.accelerators.value)) {
        return false;
    }
    held = *sum;
    return true;
}

void CustomerLedger::reserve(const CustomerId &customer, const Resources &amount)
{
    const std::lock_guard lock(this->mutex);
    Resources &held = this->amounts[customer];
    held = add(held, amount).value_or(held);
}

void CustomerLedger::release(const CustomerId &customer, const Resources &amount)
{
    const std::lock_guard lock(this->mutex);
    Resources &held = this->amounts[customer];
    held = subtract(held, amount).value_or(Resources{});
}

Resources CustomerLedger::held(const CustomerId &customer) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->amounts.find(customer);
    return found == this->amounts.end() ? Resources{} : found->second;
}

} // namespace gooseberry
