#include "template.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <set>

namespace gooseberry {

namespace {

constexpr std::size_t maxTextLength = 200;
/** Whole numbers up to this are exact as double, the type in which bounds are compared. */
constexpr double maxNumber = 1e15;

constexpr std::array<std::pair<const char *, ParameterType>, 6> typeNames{
    {{"integer", ParameterType::Integer},
     {"number", ParameterType::Number},
     {"text", ParameterType::Text},
     {"choice", ParameterType::Choice},
     {"boolean", ParameterType::Boolean},
     {"quantity", ParameterType::Quantity}}};

bool hasBounds(ParameterType type)
{
    return type == ParameterType::Integer || type == ParameterType::Number
        || type == ParameterType::Quantity;
}

std::optional<double> parseNumber(const std::string &text, bool whole)
{
    double number = 0;
    const char *end = text.data() + text.size();
    const auto [next, error] = std::from_chars(text.data(), end, number);
    const bool valid = !text.empty() && error == std::errc() && next == end && std::isfinite(number)
        && std::abs(number) <= maxNumber
        && (!whole || text.find_first_not_of("-0123456789") == std::string::npos);
    return valid ? std::optional(number) : std::nullopt;
}

/** Returns the value as a number to compare with bounds, or nothing if it is invalid. */
std::optional<double> toComparable(const ParameterSpec &spec, const std::string &text)
{
    if (spec.type != ParameterType::Quantity) {
        return parseNumber(text, spec.type == ParameterType::Integer);
    }
    const Result<std::int64_t> amount = parseQuantity(spec.quantityKind, text);
    return ok(amount) ? std::optional(static_cast<double>(valueOf(amount))) : std::nullopt;
}

std::string joinChoices(const std::vector<std::string> &choices)
{
    std::string text;
    for (const std::string &choice : choices) {
        text += (text.empty() ? "" : ", ") + choice;
    }
    return text;
}

/** Returns a description of the valid values of the parameter, for messages. */
std::string expectedValue(const ParameterSpec &spec)
{
    std::string text;
    switch (spec.type) {
    case ParameterType::Integer:
        text = "a whole number";
        break;
    case ParameterType::Number:
        text = "a number";
        break;
    case ParameterType::Text:
        return "text of up to " + std::to_string(maxTextLength) + " bytes";
    case ParameterType::Choice:
        return "one of " + joinChoices(spec.choices);
    case ParameterType::Boolean:
        return "true or false";
    case ParameterType::Quantity:
        text = "a quantity of " + toString(spec.quantityKind)
            + (spec.quantityKind == QuantityKind::Memory ? " with the unit MiB, GiB or TiB" : "");
        break;
    }
    text += spec.minimum ? " from " + *spec.minimum : std::string();
    return text + (spec.maximum ? " up to " + *spec.maximum : std::string());
}

bool isValidValue(const ParameterSpec &spec, const std::string &text)
{
    switch (spec.type) {
    case ParameterType::Text:
        return text.size() <= maxTextLength;
    case ParameterType::Choice:
        return std::find(spec.choices.begin(), spec.choices.end(), text) != spec.choices.end();
    case ParameterType::Boolean:
        return text == "true" || text == "false";
    default:
        break;
    }
    const auto value = toComparable(spec, text);
    return value && (!spec.minimum || *value >= toComparable(spec, *spec.minimum).value_or(*value))
        && (!spec.maximum || *value <= toComparable(spec, *spec.maximum).value_or(*value));
}

bool checkValue(const ParameterSpec &spec, const DocumentNode &node, const std::string &description,
                Problems &problems)
{
    if (node.kind != DocumentNode::Kind::Scalar) {
        problems.add(node.position, description + " must be " + expectedValue(spec));
        return false;
    }
    if (!isValidValue(spec, node.text)) {
        problems.add(node.position,
                     description + " must be " + expectedValue(spec) + ", not "
                         + quoteForMessage(node.text));
        return false;
    }
    return true;
}

void readType(ParameterSpec &spec, MapReader &reader, Problems &problems)
{
    const DocumentNode *node = reader.require("type");
    if (node == nullptr) {
        return;
    }
    for (const auto &[name, type] : typeNames) {
        if (node->text == name) {
            spec.type = type;
            return;
        }
    }
    problems.add(node->position,
                 "'type' must be one of integer, number, text, choice, boolean, quantity, not "
                     + quoteForMessage(node->text));
}

void readQuantityKind(ParameterSpec &spec, MapReader &reader, Problems &problems)
{
    const DocumentNode *node = reader.require("of");
    for (const QuantityKind kind : {QuantityKind::Cores, QuantityKind::Memory,
                                    QuantityKind::Accelerators, QuantityKind::Slots}) {
        if (node != nullptr && node->text == toString(kind)) {
            spec.quantityKind = kind;
            return;
        }
    }
    if (node != nullptr) {
        problems.add(node->position,
                     "'of' must be one of cores, memory, accelerators, slots, not "
                         + quoteForMessage(node->text));
    }
}

void readChoices(ParameterSpec &spec, MapReader &reader, Problems &problems)
{
    const DocumentNode *node = reader.require("choices");
    if (node == nullptr) {
        return;
    }
    for (const DocumentNode &choice : node->children) {
        if (const auto text = readText(choice, "a choice", problems)) {
            spec.choices.push_back(*text);
        }
    }
    if (spec.choices.empty()) {
        problems.add(node->position, "'choices' must be a list of at least one text");
    }
}

void readBounds(ParameterSpec &spec, MapReader &reader, Problems &problems)
{
    const DocumentNode *minimum = reader.find("minimum");
    const DocumentNode *maximum = reader.find("maximum");
    if (minimum != nullptr && checkValue(spec, *minimum, "'minimum'", problems)) {
        spec.minimum = minimum->text;
    }
    if (maximum != nullptr && checkValue(spec, *maximum, "'maximum'", problems)) {
        spec.maximum = maximum->text;
    }
}

ParameterSpec readParameter(const DocumentNode &node, Problems &problems)
{
    ParameterSpec spec;
    spec.name = node.key;
    spec.position = node.keyPosition;
    if (!isName(node.key)) {
        problems.add(node.keyPosition,
                     "a parameter's name must be lower-case letters, digits and "
                     "hyphens, not "
                         + quoteForMessage(node.key));
    }
    MapReader reader(node, "parameter " + quoteForMessage(node.key), problems);
    if (node.kind != DocumentNode::Kind::Map) {
        return spec;
    }
    readType(spec, reader, problems);
    if (spec.type == ParameterType::Quantity) {
        readQuantityKind(spec, reader, problems);
    }
    if (spec.type == ParameterType::Choice) {
        readChoices(spec, reader, problems);
    }
    if (hasBounds(spec.type)) {
        readBounds(spec, reader, problems);
    }
    const DocumentNode *defaultValue = reader.find("default");
    if (defaultValue != nullptr && checkValue(spec, *defaultValue, "'default'", problems)) {
        spec.defaultValue = defaultValue->text;
    }
    reader.reportUnknownKeys();
    return spec;
}

/** Calls use with the name and extent of each placeholder in the text. */
template<typename Use>
void forEachPlaceholder(const std::string &text, Use use)
{
    std::size_t begin = text.find("${");
    while (begin != std::string::npos) {
        const std::size_t end = text.find('}', begin);
        if (end == std::string::npos) {
            use(text.substr(begin + 2), begin, text.size());
            return;
        }
        use(text.substr(begin + 2, end - begin - 2), begin, end + 1);
        begin = text.find("${", end);
    }
}

void collectPlaceholders(const DocumentNode &node, const TemplateSpec &spec,
                         std::set<std::string> &used, Problems &problems)
{
    forEachPlaceholder(node.text, [&](const std::string &name, std::size_t, std::size_t) {
        const bool known = std::any_of(
            spec.parameters.begin(), spec.parameters.end(),
            [&name](const ParameterSpec &parameter) { return parameter.name == name; });
        if (!known) {
            problems.add(node.position,
                         "template " + quoteForMessage(spec.name) + " has no parameter "
                             + quoteForMessage(name));
        }
        used.insert(name);
    });
    for (const DocumentNode &child : node.children) {
        collectPlaceholders(child, spec, used, problems);
    }
}

} // namespace

TemplateSpec readTemplate(const DocumentNode &node, Problems &problems)
{
    TemplateSpec spec;
    MapReader reader(node, "a template", problems);
    spec.name = reader.requiredName("name");
    if (const DocumentNode *parameters = reader.find("parameters")) {
        const MapReader checked(*parameters, "'parameters'", problems);
        for (const DocumentNode &parameter : checked.node().children) {
            spec.parameters.push_back(readParameter(parameter, problems));
        }
    }
    if (const DocumentNode *body = reader.require("customer")) {
        spec.body = *body;
    }
    reader.reportUnknownKeys();
    return spec;
}

std::map<std::string, std::string>
readParameterValues(const TemplateSpec &spec, const DocumentNode &customer, Problems &problems)
{
    std::map<std::string, std::string> values;
    const DocumentNode none{.kind = DocumentNode::Kind::Map,
                            .position = customer.position,
                            .text = {},
                            .key = {},
                            .keyPosition = customer.position,
                            .children = {}};
    const DocumentNode *given = customer.find("parameters");
    MapReader reader(given != nullptr ? *given : none,
                     "'parameters' of template '" + spec.name + '\'', problems);
    for (const ParameterSpec &parameter : spec.parameters) {
        const DocumentNode *value = reader.find(parameter.name);
        const std::string description = "parameter '" + parameter.name + '\'';
        if (value != nullptr && checkValue(parameter, *value, description, problems)) {
            values[parameter.name] = value->text;
        } else if (value == nullptr && parameter.defaultValue) {
            values[parameter.name] = *parameter.defaultValue;
        } else if (value == nullptr) {
            problems.add(reader.node().position,
                         description + " of template '" + spec.name + "' is missing; it must be "
                             + expectedValue(parameter));
        }
    }
    reader.reportUnknownKeys();
    return values;
}

std::map<std::string, std::string> sampleValues(const TemplateSpec &spec)
{
    std::map<std::string, std::string> values;
    for (const ParameterSpec &parameter : spec.parameters) {
        std::string value = "1";
        if (parameter.type == ParameterType::Boolean) {
            value = "true";
        } else if (parameter.type == ParameterType::Choice && !parameter.choices.empty()) {
            value = parameter.choices.front();
        } else if (parameter.type == ParameterType::Quantity
                   && parameter.quantityKind == QuantityKind::Memory) {
            value = "1GiB";
        }
        value = parameter.minimum.value_or(value);
        value = parameter.maximum.value_or(value);
        values[parameter.name] = parameter.defaultValue.value_or(value);
    }
    return values;
}

DocumentNode substitutePlaceholders(const DocumentNode &body,
                                    const std::map<std::string, std::string> &values)
{
    DocumentNode filled = body;
    std::string text;
    std::size_t position = 0;
    forEachPlaceholder(body.text, [&](const std::string &name, std::size_t begin, std::size_t end) {
        const auto value = values.find(name);
        text += body.text.substr(position, begin - position);
        text += value == values.end() ? body.text.substr(begin, end - begin) : value->second;
        position = end;
    });
    filled.text = text + body.text.substr(position);
    for (DocumentNode &child : filled.children) {
        child = substitutePlaceholders(child, values);
    }
    return filled;
}

void checkPlaceholders(const TemplateSpec &spec, Problems &problems)
{
    std::set<std::string> used;
    collectPlaceholders(spec.body, spec, used, problems);
    for (const ParameterSpec &parameter : spec.parameters) {
        if (!used.contains(parameter.name)) {
            problems.add(parameter.position,
                         "parameter '" + parameter.name + "' is not used in the template");
        }
    }
}

} // namespace gooseberry
