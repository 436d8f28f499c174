#include <contract/quantity.h>

#include <array>
#include <charconv>

namespace gooseberry {

namespace {

constexpr std::int64_t thousandths = 1000;
constexpr std::int64_t bytesPerMebibyte = 1LL << 20;
constexpr std::int64_t bytesPerGibibyte = 1LL << 30;
constexpr std::int64_t bytesPerTebibyte = 1LL << 40;

struct Unit
{
    const char *name;
    std::int64_t factor;
};

constexpr std::array<Unit, 3> memoryUnits{
    {{"TiB", bytesPerTebibyte}, {"GiB", bytesPerGibibyte}, {"MiB", bytesPerMebibyte}}};
constexpr std::array<Unit, 4> durationUnits{
    {{"ms", 1}, {"s", 1000}, {"m", 60'000}, {"h", 3'600'000}}};

Error refuse(const std::string &text, const std::string &expected)
{
    return Error{.code = ErrorCode::InvalidArgument,
                 .step = Step::Parse,
                 .peer = {},
                 .message = "must be " + expected + ", not " + quoteForMessage(text),
                 .outcome = Outcome::NotRun};
}

std::optional<std::int64_t> parseDigits(const std::string &digits)
{
    std::int64_t number = 0;
    const char *end = digits.data() + digits.size();
    const auto [next, error] = std::from_chars(digits.data(), end, number);
    const bool valid = !digits.empty() && digits[0] != '-' && error == std::errc() && next == end;
    return valid ? std::optional(number) : std::nullopt;
}

/** Reads "12" or "12.345" as thousandths. */
std::optional<std::int64_t> parseThousandths(const std::string &text)
{
    constexpr std::size_t maxDecimals = 3;
    const std::size_t dot = std::min(text.find('.'), text.size());
    const auto whole = parseDigits(text.substr(0, dot));
    std::optional<std::int64_t> rest = 0;
    if (dot < text.size()) {
        std::string decimals = text.substr(dot + 1);
        if (decimals.empty() || decimals.size() > maxDecimals) {
            return std::nullopt;
        }
        decimals.resize(maxDecimals, '0');
        rest = parseDigits(decimals);
    }
    std::int64_t result = 0;
    if (!whole || !rest || __builtin_mul_overflow(*whole, thousandths, &result)
        || __builtin_add_overflow(result, *rest, &result)) {
        return std::nullopt;
    }
    return result;
}

/** Splits "12.5GiB" into the number and the unit. */
std::pair<std::string, std::string> splitUnit(const std::string &text)
{
    const std::size_t end = std::min(text.find_first_not_of("0123456789."), text.size());
    std::string unit = text.substr(end);
    // One space before the unit is accepted, since "64 GiB" is a common notation.
    if (unit.size() > 1 && unit.front() == ' ') {
        unit.erase(0, 1);
    }
    return {text.substr(0, end), unit};
}

template<std::size_t Count>
const Unit *findUnit(const std::array<Unit, Count> &units, const std::string &name)
{
    for (const Unit &unit : units) {
        if (name == unit.name) {
            return &unit;
        }
    }
    return nullptr;
}

Result<std::int64_t> parseCount(const std::string &text)
{
    const auto number = parseDigits(text);
    if (!number || *number > maxDeclaredCount) {
        return refuse(text, "a whole number from 0 to " + std::to_string(maxDeclaredCount));
    }
    return *number;
}

std::string writeThousandths(std::int64_t amount)
{
    std::string text = std::to_string(amount / thousandths);
    if (amount % thousandths != 0) {
        std::string decimals = std::to_string(thousandths + amount % thousandths).substr(1);
        decimals.erase(decimals.find_last_not_of('0') + 1);
        text += '.' + decimals;
    }
    return text;
}

std::int64_t readQuantity(MapReader &reader, QuantityKind kind, bool requireNonZero,
                          Problems &problems)
{
    const std::string key = toString(kind);
    const bool required = requireNonZero && kind != QuantityKind::Accelerators;
    const DocumentNode *node = required ? reader.require(key) : reader.find(key);
    if (node == nullptr) {
        return 0;
    }
    if (node->kind != DocumentNode::Kind::Scalar) {
        problems.add(node->position, '\'' + key + "' must be a single value");
        return 0;
    }
    const Result<std::int64_t> amount = parseQuantity(kind, node->text);
    if (!ok(amount)) {
        problems.add(node->position, '\'' + key + "' " + errorOf(amount).message);
        return 0;
    }
    if (required && valueOf(amount) == 0) {
        problems.add(node->position, '\'' + key + "' must be above zero");
    }
    return valueOf(amount);
}

} // namespace

Result<CpuMillis> parseCores(const std::string &text)
{
    const auto amount = parseThousandths(text);
    if (!amount || *amount > maxDeclaredCores * thousandths) {
        return refuse(text,
                      "a number of cores from 0 to " + std::to_string(maxDeclaredCores)
                          + " with up to three decimals");
    }
    return CpuMillis(*amount);
}

Result<Bytes> parseMemory(const std::string &text)
{
    const auto [number, unitName] = splitUnit(text);
    const auto amount = parseThousandths(number);
    const Unit *unit = findUnit(memoryUnits, unitName);
    std::int64_t scaled = 0;
    if (!amount || unit == nullptr || __builtin_mul_overflow(*amount, unit->factor / 1024, &scaled)
        || scaled / thousandths > maxDeclaredMemory.value / 1024) {
        return refuse(text,
                      "an amount of memory from 0MiB to 1024TiB with the unit MiB, GiB or "
                      "TiB, such as 64GiB");
    }
    // The factor is divided by 1024 above and multiplied back here, so that thousandths of the
    // largest amount don't overflow.
    return Bytes(scaled / thousandths * 1024 + scaled % thousandths * 1024 / thousandths);
}

Result<std::chrono::milliseconds> parseDuration(const std::string &text)
{
    constexpr std::int64_t longest = 7LL * 24 * 3'600'000;
    const auto [number, unitName] = splitUnit(text);
    const auto amount = parseDigits(number);
    const Unit *unit = findUnit(durationUnits, unitName);
    std::int64_t scaled = 0;
    if (!amount || unit == nullptr || __builtin_mul_overflow(*amount, unit->factor, &scaled)
        || scaled > longest) {
        return refuse(text,
                      "a duration up to 168h as a whole number with the unit ms, s, m or h, "
                      "such as 200ms, 6s or 15m");
    }
    return std::chrono::milliseconds(scaled);
}

std::string writeCores(CpuMillis cores)
{
    return writeThousandths(cores.value);
}

std::string writeMemory(Bytes memory)
{
    for (const Unit &unit : memoryUnits) {
        if (memory.value >= unit.factor && memory.value % (unit.factor / 1024) == 0) {
            const std::int64_t parts = memory.value / (unit.factor / 1024);
            // Fractions are written in this unit only if three decimals represent them exactly.
            if (parts * thousandths % 1024 == 0) {
                return writeThousandths(parts * thousandths / 1024) + unit.name;
            }
        }
    }
    return writeThousandths(memory.value / 1024 * thousandths / 1024) + "MiB";
}

std::string writeResources(const Resources &amount)
{
    std::string text = writeCores(amount.cpu) + " cores, " + writeMemory(amount.memory);
    if (amount.accelerators.value != 0) {
        text += ", " + std::to_string(amount.accelerators.value) + " accelerators";
    }
    return text + ", " + std::to_string(amount.slots.value) + " slots";
}

std::string toString(QuantityKind kind)
{
    switch (kind) {
    case QuantityKind::Cores:
        return "cores";
    case QuantityKind::Memory:
        return "memory";
    case QuantityKind::Accelerators:
        return "accelerators";
    case QuantityKind::Slots:
        return "slots";
    }
    return "unknown";
}

Result<std::int64_t> parseQuantity(QuantityKind kind, const std::string &text)
{
    if (kind == QuantityKind::Cores) {
        const Result<CpuMillis> cores = parseCores(text);
        return ok(cores) ? Result<std::int64_t>(valueOf(cores).value) : errorOf(cores);
    }
    if (kind == QuantityKind::Memory) {
        const Result<Bytes> memory = parseMemory(text);
        return ok(memory) ? Result<std::int64_t>(valueOf(memory).value) : errorOf(memory);
    }
    return parseCount(text);
}

Resources readResources(const DocumentNode &node, const std::string &description,
                        bool requireNonZero, Problems &problems)
{
    MapReader reader(node, description, problems);
    const auto read
        = [&](QuantityKind kind) { return readQuantity(reader, kind, requireNonZero, problems); };
    Resources amount;
    amount.cpu = CpuMillis(read(QuantityKind::Cores));
    amount.memory = Bytes(read(QuantityKind::Memory));
    amount.accelerators = AcceleratorCount(read(QuantityKind::Accelerators));
    amount.slots = SlotCount(read(QuantityKind::Slots));
    reader.reportUnknownKeys();
    return amount;
}

} // namespace gooseberry
