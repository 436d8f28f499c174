#include <base/resources.h>

#include <algorithm>

namespace gooseberry {

namespace {

using Amount = std::int64_t;

bool addInto(Amount left, Amount right, Amount &sum)
{
    return !__builtin_add_overflow(left, right, &sum);
}

bool subtractInto(Amount left, Amount right, Amount &difference)
{
    return !__builtin_sub_overflow(left, right, &difference) && difference >= 0;
}

bool multiplyInto(Amount amount, std::uint32_t count, Amount &product)
{
    return !__builtin_mul_overflow(amount, static_cast<Amount>(count), &product);
}

double fraction(Amount amount, Amount capacity)
{
    return capacity > 0 ? static_cast<double>(amount) / static_cast<double>(capacity) : 0.0;
}

} // namespace

std::string toString(Dimension dimension)
{
    switch (dimension) {
    case Dimension::Cpu:
        return "cpu";
    case Dimension::Memory:
        return "memory";
    case Dimension::Accelerators:
        return "accelerators";
    case Dimension::Slots:
        return "slots";
    }
    return "unknown";
}

std::optional<Resources> add(const Resources &left, const Resources &right)
{
    Resources sum;
    const bool exact = addInto(left.cpu.value, right.cpu.value, sum.cpu.value)
        && addInto(left.memory.value, right.memory.value, sum.memory.value)
        && addInto(left.accelerators.value, right.accelerators.value, sum.accelerators.value)
        && addInto(left.slots.value, right.slots.value, sum.slots.value);
    return exact ? std::optional(sum) : std::nullopt;
}

std::optional<Resources> subtract(const Resources &left, const Resources &right)
{
    Resources rest;
    const bool exact = subtractInto(left.cpu.value, right.cpu.value, rest.cpu.value)
        && subtractInto(left.memory.value, right.memory.value, rest.memory.value)
        && subtractInto(left.accelerators.value, right.accelerators.value, rest.accelerators.value)
        && subtractInto(left.slots.value, right.slots.value, rest.slots.value);
    return exact ? std::optional(rest) : std::nullopt;
}

std::optional<Resources> multiply(const Resources &amount, std::uint32_t count)
{
    Resources product;
    const bool exact = multiplyInto(amount.cpu.value, count, product.cpu.value)
        && multiplyInto(amount.memory.value, count, product.memory.value)
        && multiplyInto(amount.accelerators.value, count, product.accelerators.value)
        && multiplyInto(amount.slots.value, count, product.slots.value);
    return exact ? std::optional(product) : std::nullopt;
}

std::optional<Dimension> firstShortage(const Resources &wanted, const Resources &available)
{
    if (wanted.cpu > available.cpu) {
        return Dimension::Cpu;
    }
    if (wanted.memory > available.memory) {
        return Dimension::Memory;
    }
    if (wanted.accelerators > available.accelerators) {
        return Dimension::Accelerators;
    }
    if (wanted.slots > available.slots) {
        return Dimension::Slots;
    }
    return std::nullopt;
}

bool isNonNegative(const Resources &amount)
{
    return amount.cpu.value >= 0 && amount.memory.value >= 0 && amount.accelerators.value >= 0
        && amount.slots.value >= 0;
}

double dominantShare(const Resources &amount, const Resources &capacity)
{
    return std::max({fraction(amount.cpu.value, capacity.cpu.value),
                     fraction(amount.memory.value, capacity.memory.value),
                     fraction(amount.accelerators.value, capacity.accelerators.value),
                     fraction(amount.slots.value, capacity.slots.value)});
}

} // namespace gooseberry
