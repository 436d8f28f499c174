#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <contract/contract.h>

namespace gooseberry {

enum class ParameterType {
    Integer,
    Number,
    Text,
    Choice,
    Boolean,
    Quantity,
};

/** The declaration of a template parameter. */
struct ParameterSpec
{
    std::string name;
    ParameterType type = ParameterType::Text;
    /** The resource that a parameter of type quantity measures. */
    QuantityKind quantityKind = QuantityKind::Memory;
    std::vector<std::string> choices;
    std::optional<std::string> minimum;
    std::optional<std::string> maximum;
    std::optional<std::string> defaultValue;
    Position position;
};

/** A template: the declaration of a customer with placeholders of the form ${parameter}. */
struct TemplateSpec
{
    std::string name;
    std::vector<ParameterSpec> parameters;
    DocumentNode body;
};

/** Reads one item of the section "templates". */
TemplateSpec readTemplate(const DocumentNode &node, Problems &problems);

/**
 * Reads the parameter values of a customer and adds defaults. Adds problems for unknown, missing
 * and invalid values at their positions.
 */
std::map<std::string, std::string>
readParameterValues(const TemplateSpec &spec, const DocumentNode &customer, Problems &problems);

/** Returns a value for every parameter, to check a template before any customer uses it. */
std::map<std::string, std::string> sampleValues(const TemplateSpec &spec);

/** Returns the body with placeholders replaced by values; values are not expanded again. */
DocumentNode substitutePlaceholders(const DocumentNode &body,
                                    const std::map<std::string, std::string> &values);

/** Adds problems for placeholders without a parameter and parameters without a placeholder. */
void checkPlaceholders(const TemplateSpec &spec, Problems &problems);

} // namespace gooseberry
