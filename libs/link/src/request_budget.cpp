#include <link/request_budget.h>

#include <utility>

namespace gooseberry {

namespace {

std::int64_t largePart(const RequestMemoryLimits &limits, Bytes amount)
{
    return amount.value > limits.smallRequest.value ? amount.value : 0;
}

} // namespace

RequestMemoryLimits requestMemoryLimits(Bytes all)
{
    RequestMemoryLimits limits;
    limits.all = all;
    limits.large = Bytes(all.value / 2);
    return limits;
}

RequestMemoryUse useAfterChange(const RequestMemoryLimits &limits, const RequestMemoryUse &use,
                                Bytes before, Bytes after)
{
    return RequestMemoryUse{
        .all = Bytes(use.all.value - before.value + after.value),
        .large = Bytes(use.large.value - largePart(limits, before) + largePart(limits, after))};
}

bool mayChange(const RequestMemoryLimits &limits, const RequestMemoryUse &use, Bytes before,
               Bytes after)
{
    if (after.value <= before.value) {
        return true;
    }
    const RequestMemoryUse changed = useAfterChange(limits, use, before, after);
    const bool large = after.value > limits.smallRequest.value;
    return changed.all.value <= limits.all.value
        && (!large || changed.large.value <= limits.large.value);
}

RequestBudget::RequestBudget(RequestMemoryLimits initialLimits)
    : limits(initialLimits)
{
}

bool RequestBudget::change(Bytes before, Bytes after)
{
    const std::lock_guard lock(this->mutex);
    if (!mayChange(this->limits, this->current, before, after)) {
        ++this->refused;
        return false;
    }
    this->current = useAfterChange(this->limits, this->current, before, after);
    return true;
}

RequestMemoryUse RequestBudget::use() const
{
    const std::lock_guard lock(this->mutex);
    return this->current;
}

std::uint64_t RequestBudget::refusals() const
{
    const std::lock_guard lock(this->mutex);
    return this->refused;
}

RequestCharge::RequestCharge(std::shared_ptr<RequestBudget> initialBudget)
    : budget(std::move(initialBudget))
{
}

RequestCharge::~RequestCharge()
{
    this->budget->change(this->held, Bytes(0));
}

bool RequestCharge::set(Bytes amount)
{
    if (!this->budget->change(this->held, amount)) {
        return false;
    }
    this->held = amount;
    return true;
}

} // namespace gooseberry
