#include <contract/document.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <sstream>
#include <tuple>

namespace gooseberry {

namespace {

constexpr std::size_t maxNameLength = 63;
constexpr std::size_t maxQuotedLength = 64;
/** Keeps messages readable; further problems are reported once these are corrected. */
constexpr std::size_t maxReported = 25;

std::string kindName(DocumentNode::Kind kind)
{
    switch (kind) {
    case DocumentNode::Kind::Empty:
        return "nothing";
    case DocumentNode::Kind::Scalar:
        return "a single value";
    case DocumentNode::Kind::List:
        return "a list";
    case DocumentNode::Kind::Map:
        return "a map";
    }
    return "unknown";
}

std::string join(const std::vector<std::string> &words)
{
    std::string text;
    for (const std::string &word : words) {
        text += (text.empty() ? "" : ", ") + word;
    }
    return text;
}

std::string formatNumber(double number)
{
    std::ostringstream text;
    text << number;
    return text.str();
}

/** Returns whether the node is a scalar; otherwise adds a problem with the expected value. */
bool checkScalar(const DocumentNode &node, const std::string &description,
                 const std::string &expected, Problems &problems)
{
    if (node.kind != DocumentNode::Kind::Scalar) {
        problems.add(node.position,
                     description + " must be " + expected + ", not " + kindName(node.kind));
        return false;
    }
    return true;
}

void addUnexpectedValue(const DocumentNode &node, const std::string &description,
                        const std::string &expected, Problems &problems)
{
    problems.add(node.position,
                 description + " must be " + expected + ", not " + quoteForMessage(node.text));
}

template<typename Number>
std::optional<Number> parseNumber(const std::string &text)
{
    Number number{};
    const char *end = text.data() + text.size();
    const auto [next, error] = std::from_chars(text.data(), end, number);
    return !text.empty() && error == std::errc() && next == end ? std::optional(number)
                                                                : std::nullopt;
}

} // namespace

std::string quoteForMessage(const std::string &text)
{
    std::string shown = "'";
    for (const char letter : text.substr(0, maxQuotedLength)) {
        shown += std::iscntrl(static_cast<unsigned char>(letter)) != 0 ? '?' : letter;
    }
    return shown + (text.size() > maxQuotedLength ? "...'" : "'");
}

void Problems::add(const Position &position, const std::string &message)
{
    const bool known
        = std::any_of(this->problems.begin(), this->problems.end(), [&](const Problem &problem) {
              return problem.message == message && toString(problem.position) == toString(position);
          });
    if (!known) {
        this->problems.push_back(Problem{.position = position, .message = message});
    }
}

bool Problems::empty() const
{
    return this->problems.empty();
}

std::size_t Problems::count() const
{
    return this->problems.size();
}

Error Problems::toError(Step step, const std::string &fileName) const
{
    std::vector<Problem> ordered = this->problems;
    std::stable_sort(ordered.begin(), ordered.end(), [](const Problem &left, const Problem &right) {
        return std::tie(*left.position.file, left.position.line, left.position.column)
            < std::tie(*right.position.file, right.position.line, right.position.column);
    });
    std::string message;
    for (std::size_t i = 0; i < std::min(ordered.size(), maxReported); ++i) {
        message += (i == 0 ? "" : "\n") + toString(ordered[i].position) + ": " + ordered[i].message;
    }
    if (ordered.size() > maxReported) {
        message += "\nand " + std::to_string(ordered.size() - maxReported) + " more";
    }
    return Error{.code = ErrorCode::InvalidArgument,
                 .step = step,
                 .peer = fileName,
                 .message = message,
                 .outcome = Outcome::NotRun};
}

MapReader::MapReader(const DocumentNode &initialNode, std::string initialDescription,
                     Problems &initialProblems)
    : source(initialNode)
    , description(std::move(initialDescription))
    , problems(initialProblems)
{
    if (this->source.kind != DocumentNode::Kind::Map) {
        this->problems.add(this->source.position,
                           this->description + " must be a map, not "
                               + kindName(this->source.kind));
    }
}

const DocumentNode *MapReader::find(const std::string &key)
{
    if (std::find(this->knownKeys.begin(), this->knownKeys.end(), key) == this->knownKeys.end()) {
        this->knownKeys.push_back(key);
    }
    return this->source.find(key);
}

const DocumentNode *MapReader::require(const std::string &key)
{
    const DocumentNode *value = this->find(key);
    if (value == nullptr && this->source.kind == DocumentNode::Kind::Map) {
        this->problems.add(this->source.position,
                           this->description + " needs the key '" + key + '\'');
    }
    return value;
}

std::string MapReader::text(const std::string &key, const std::string &fallback)
{
    const DocumentNode *value = this->find(key);
    return value == nullptr
        ? fallback
        : readText(*value, '\'' + key + '\'', this->problems).value_or(fallback);
}

std::string MapReader::requiredText(const std::string &key)
{
    const DocumentNode *value = this->require(key);
    return value == nullptr
        ? std::string()
        : readText(*value, '\'' + key + '\'', this->problems).value_or(std::string());
}

std::string MapReader::requiredName(const std::string &key)
{
    const DocumentNode *value = this->require(key);
    return value == nullptr
        ? std::string()
        : readName(*value, '\'' + key + '\'', this->problems).value_or(std::string());
}

std::int64_t MapReader::integer(const std::string &key, std::int64_t fallback, std::int64_t lowest,
                                std::int64_t highest)
{
    const DocumentNode *value = this->find(key);
    return value == nullptr
        ? fallback
        : readInteger(*value, '\'' + key + '\'', lowest, highest, this->problems)
              .value_or(fallback);
}

bool MapReader::boolean(const std::string &key, bool fallback)
{
    const DocumentNode *value = this->find(key);
    return value == nullptr
        ? fallback
        : readBoolean(*value, '\'' + key + '\'', this->problems).value_or(fallback);
}

std::vector<DocumentNode> MapReader::list(const std::string &key)
{
    const DocumentNode *value = this->find(key);
    if (value == nullptr) {
        return {};
    }
    if (value->kind != DocumentNode::Kind::List) {
        this->problems.add(value->position,
                           '\'' + key + "' must be a list, not " + kindName(value->kind));
        return {};
    }
    return value->children;
}

void MapReader::reportUnknownKeys()
{
    if (this->source.kind != DocumentNode::Kind::Map) {
        return;
    }
    for (const DocumentNode &child : this->source.children) {
        if (std::find(this->knownKeys.begin(), this->knownKeys.end(), child.key)
            == this->knownKeys.end()) {
            this->problems.add(child.keyPosition,
                               "unknown key " + quoteForMessage(child.key) + " in "
                                   + this->description + "; allowed are " + join(this->knownKeys));
        }
    }
}

const DocumentNode &MapReader::node() const
{
    return this->source;
}

bool isName(const std::string &text)
{
    const auto isLetter = [](char letter) {
        return (letter >= 'a' && letter <= 'z') || (letter >= '0' && letter <= '9');
    };
    return !text.empty() && text.size() <= maxNameLength && isLetter(text.front())
        && std::all_of(text.begin(), text.end(),
                       [&](char letter) { return isLetter(letter) || letter == '-'; });
}

std::optional<std::string> readText(const DocumentNode &node, const std::string &description,
                                    Problems &problems)
{
    if (!checkScalar(node, description, "text", problems)) {
        return std::nullopt;
    }
    return node.text;
}

std::optional<std::string> readName(const DocumentNode &node, const std::string &description,
                                    Problems &problems)
{
    static const std::string expected
        = "a name of 1 to 63 lower-case letters, digits and hyphens that starts with a letter or "
          "digit";
    if (!checkScalar(node, description, expected, problems)) {
        return std::nullopt;
    }
    if (!isName(node.text)) {
        addUnexpectedValue(node, description, expected, problems);
        return std::nullopt;
    }
    return node.text;
}

std::optional<std::int64_t> readInteger(const DocumentNode &node, const std::string &description,
                                        std::int64_t lowest, std::int64_t highest,
                                        Problems &problems)
{
    const std::string expected
        = "a whole number from " + std::to_string(lowest) + " to " + std::to_string(highest);
    if (!checkScalar(node, description, expected, problems)) {
        return std::nullopt;
    }
    const auto number = parseNumber<std::int64_t>(node.text);
    if (!number || *number < lowest || *number > highest) {
        addUnexpectedValue(node, description, expected, problems);
        return std::nullopt;
    }
    return number;
}

std::optional<double> readNumber(const DocumentNode &node, const std::string &description,
                                 double lowest, double highest, Problems &problems)
{
    const std::string expected
        = "a number from " + formatNumber(lowest) + " to " + formatNumber(highest);
    if (!checkScalar(node, description, expected, problems)) {
        return std::nullopt;
    }
    const auto number = parseNumber<double>(node.text);
    if (!number || !std::isfinite(*number) || *number < lowest || *number > highest) {
        addUnexpectedValue(node, description, expected, problems);
        return std::nullopt;
    }
    return number;
}

std::optional<bool> readBoolean(const DocumentNode &node, const std::string &description,
                                Problems &problems)
{
    if (!checkScalar(node, description, "true or false", problems)) {
        return std::nullopt;
    }
    if (node.text != "true" && node.text != "false") {
        addUnexpectedValue(node, description, "true or false", problems);
        return std::nullopt;
    }
    return node.text == "true";
}

} // namespace gooseberry
