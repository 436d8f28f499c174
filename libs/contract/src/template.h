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

/** A parameter of a template, as its declaration states it. */
struct ParameterSpec
{
    std::string name;
    ParameterType type = ParameterType::Text;
    /** What a parameter of type quantity quantityKind. */
    QuantityKind quantityKind = QuantityKind::Memory;
    std::vector<std::string> choices;
    std::optional<std::string> minimum;
    std::optional<std::string> maximum;
    std::optional<std::string> fallback;
    Position position;
};

/** A customer's declaration with placeholders of the form ${parameter}. */
struct TemplateSpec
{
    std::string name;
    std::vector<ParameterSpec> parameters;
    DocumentNode body;
};

/** Reads one item of the section "templates". */
TemplateSpec readTemplate(const DocumentNode &node, Problems &problems);

/**
 * Reads the values that a customer gives, adds defaults, and notes unknown, missing and unfit
 * ones at their positions.
 */
std::map<std::string, std::string>
readParameterValues(const TemplateSpec &spec, const DocumentNode &customer, Problems &problems);

/** Returns a value for every parameter, by which a template is checked before anything uses it. */
std::map<std::string, std::string> sampleValues(const TemplateSpec &spec);

/** Returns the body with all placeholders replaced once; values are not searched again. */
DocumentNode substitutePlaceholders(const DocumentNode &body,
                                    const std::map<std::string, std::string> &values);

/** Notes placeholders without a parameter and parameters without a placeholder. */
void checkPlaceholders(const TemplateSpec &spec, Problems &problems);

} // namespace gooseberry
