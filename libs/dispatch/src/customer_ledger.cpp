#include <dispatch/customer_ledger.h>

#include <optional>

namespace gooseberry {

namespace {

bool exceeds(std::int64_t amount, std::int64_t limit)
{
    return limit > 0 && amount > limit;
}

/** Returns the sum of both, or nothing if it exceeds the limit. */
std::optional<Resources> sumWithin(const Resources &held, const Resources &amount,
                                   const Resources &limit)
{
    const auto sum = add(held, amount);
    if (!sum || exceeds(sum->cpu.value, limit.cpu.value)
        || exceeds(sum->memory.value, limit.memory.value)
        || exceeds(sum->accelerators.value, limit.accelerators.value)) {
        return std::nullopt;
    }
    return sum;
}

} // namespace

bool CustomerLedger::tryReserve(const CustomerId &customer, const Resources &amount,
                                const Resources &limit)
{
    const std::lock_guard lock(this->mutex);
    Resources &held = this->amounts[customer];
    const std::optional<Resources> sum = sumWithin(held, amount, limit);
    held = sum.value_or(held);
    return sum.has_value();
}

bool CustomerLedger::fits(const CustomerId &customer, const Resources &amount,
                          const Resources &limit) const
{
    return sumWithin(this->held(customer), amount, limit).has_value();
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
