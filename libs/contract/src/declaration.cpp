#include <contract/declaration.h>

#include <algorithm>
#include <array>

#include <contract/document.h>

#include "declared_customer.h"
#include "template.h"

namespace gooseberry {

namespace {

/** Limits of the merged declarations; the text of hundreds of customers is far smaller. */
constexpr DocumentLimits mergedLimits{
    .maxSize = Bytes(4LL * 1024 * 1024), .maxDepth = 16, .maxNodes = 1'000'000};

/** The sections that hold named items, in the order of the canonical text. */
const std::array<std::string, 3> sectionNames{"domains", "templates", "customers"};

/** The items of one section, in the order of their first declaration. */
struct Section
{
    std::string name;
    std::vector<DocumentNode> items;
};
using Sections = std::array<Section, 3>;

std::string itemName(const DocumentNode &item)
{
    const DocumentNode *name = item.find("name");
    return name != nullptr ? name->text : std::string();
}

std::vector<DocumentNode>::iterator findItem(Section &section, const std::string &name)
{
    return std::find_if(section.items.begin(), section.items.end(),
                        [&name](const DocumentNode &item) { return itemName(item) == name; });
}

/** Reads the three sections and checks that each item is a map with a unique name. */
Sections readSections(MapReader &reader, Problems &problems)
{
    Sections sections;
    for (std::size_t i = 0; i < sections.size(); ++i) {
        Section &section = sections.at(i);
        section.name = sectionNames.at(i);
        for (const DocumentNode &item : reader.list(section.name)) {
            MapReader checked(item, "an item of '" + section.name + '\'', problems);
            const std::string name = checked.requiredName("name");
            const auto first = findItem(section, name);
            if (!name.empty() && first != section.items.end()) {
                problems.add(item.find("name")->position,
                             quoteForMessage(name) + " is declared twice in '" + section.name
                                 + "', first at " + toString(first->position));
            }
            section.items.push_back(item);
        }
    }
    return sections;
}

/** Removes the named items from the base; a name that does not exist is no error. */
void removeItems(Sections &base, const Sections &change, const DocumentNode &remove,
                 Problems &problems)
{
    MapReader reader(remove, "'remove'", problems);
    for (std::size_t i = 0; i < base.size(); ++i) {
        Section &section = base.at(i);
        for (const DocumentNode &node : reader.list(section.name)) {
            const auto name = readName(node, "a removed item", problems);
            if (!name) {
                continue;
            }
            Section changed = change.at(i);
            if (findItem(changed, *name) != changed.items.end()) {
                problems.add(node.position,
                             quoteForMessage(*name) + " in '" + section.name
                                 + "' is both declared and removed");
            }
            if (const auto item = findItem(section, *name); item != section.items.end()) {
                section.items.erase(item);
            }
        }
    }
    reader.reportUnknownKeys();
}

void mergeItems(Sections &base, const Sections &change)
{
    for (std::size_t i = 0; i < base.size(); ++i) {
        for (const DocumentNode &item : change.at(i).items) {
            const auto existing = findItem(base.at(i), itemName(item));
            if (existing != base.at(i).items.end()) {
                *existing = item;
            } else {
                base.at(i).items.push_back(item);
            }
        }
    }
}

FailureDomainSpec readDomain(const DocumentNode &node, Problems &problems)
{
    MapReader reader(node, "a domain", problems);
    FailureDomainSpec domain;
    domain.id = FailureDomainId(reader.requiredName("name"));
    domain.region = RegionId(reader.requiredName("region"));
    reader.reportUnknownKeys();
    return domain;
}

/** Reads the templates and expands each with sample values, to check unused ones as well. */
std::vector<TemplateSpec> readTemplates(const Section &section, Problems &problems)
{
    std::vector<TemplateSpec> templates;
    for (const DocumentNode &item : section.items) {
        const std::size_t before = problems.count();
        TemplateSpec spec = readTemplate(item, problems);
        checkPlaceholders(spec, problems);
        if (problems.count() == before) {
            readCustomer(substitutePlaceholders(spec.body, sampleValues(spec)),
                         CustomerId(spec.name), problems);
        }
        templates.push_back(std::move(spec));
    }
    return templates;
}

std::string joinNames(const std::vector<TemplateSpec> &templates)
{
    std::string names;
    for (const TemplateSpec &spec : templates) {
        names += (names.empty() ? "" : ", ") + spec.name;
    }
    return names.empty() ? "none" : names;
}

Customer readTemplatedCustomer(const DocumentNode &item, const DocumentNode &templateName,
                               const std::vector<TemplateSpec> &templates, Problems &problems)
{
    const CustomerId id(itemName(item));
    const auto found = std::find_if(
        templates.begin(), templates.end(),
        [&templateName](const TemplateSpec &spec) { return spec.name == templateName.text; });
    MapReader reader(item, "customer '" + id.value + '\'', problems);
    reader.find("name");
    reader.find("template");
    reader.find("parameters");
    reader.reportUnknownKeys();
    if (found == templates.end()) {
        problems.add(templateName.position,
                     "template " + quoteForMessage(templateName.text)
                         + " does not exist; declared are " + joinNames(templates));
        return Customer{};
    }
    const std::size_t before = problems.count();
    const auto values = readParameterValues(*found, item, problems);
    if (problems.count() != before) {
        return Customer{};
    }
    Problems expansionProblems;
    Customer customer
        = readCustomer(substitutePlaceholders(found->body, values), id, expansionProblems);
    if (!expansionProblems.empty()) {
        problems.add(item.position,
                     "customer '" + id.value + "' does not fit template '" + found->name
                         + "': " + expansionProblems.toError(Step::Parse, {}).message);
    }
    return customer;
}

std::vector<Customer> readCustomers(const Section &section,
                                    const std::vector<TemplateSpec> &templates, Problems &problems)
{
    std::vector<Customer> customers;
    for (const DocumentNode &item : section.items) {
        const DocumentNode *templateName = item.find("template");
        customers.push_back(templateName != nullptr
                                ? readTemplatedCustomer(item, *templateName, templates, problems)
                                : readCustomer(item, CustomerId(itemName(item)), problems));
    }
    return customers;
}

std::string writeSections(const Sections &sections)
{
    DocumentNode root;
    root.kind = DocumentNode::Kind::Map;
    for (const Section &section : sections) {
        if (!section.items.empty()) {
            DocumentNode list;
            list.kind = DocumentNode::Kind::List;
            list.key = section.name;
            list.children = section.items;
            root.children.push_back(std::move(list));
        }
    }
    return root.children.empty() ? std::string() : writeDocument(root);
}

/** Reads the merged sections as a whole, since a changed template affects other customers. */
Result<CellConfig> readMerged(const Sections &sections, const std::string &fileName,
                              Problems &problems)
{
    CellConfig config;
    for (const DocumentNode &item : sections[0].items) {
        config.domains.push_back(readDomain(item, problems));
    }
    const std::vector<TemplateSpec> templates = readTemplates(sections[1], problems);
    if (problems.empty()) {
        config.customers = readCustomers(sections[2], templates, problems);
    }
    if (!problems.empty()) {
        return problems.toError(Step::Parse, fileName);
    }
    config.source = writeSections(sections);
    if (config.source.size() > static_cast<std::size_t>(mergedLimits.maxSize.value)) {
        return Error{.code = ErrorCode::TooLarge,
                     .step = Step::Parse,
                     .peer = fileName,
                     .message = fileName + ":1:1: all declarations together exceed "
                         + std::to_string(mergedLimits.maxSize.value) + " bytes",
                     .outcome = Outcome::NotRun};
    }
    return config;
}

const std::string sourceInForceName = "declarations in force";

Result<Sections> readSectionsInForce(const std::string &source)
{
    const std::string &name = sourceInForceName;
    const Result<DocumentNode> base = parseDocument(source, name, mergedLimits);
    if (!ok(base)) {
        return errorOf(base);
    }
    Problems problems;
    DocumentNode root = valueOf(base);
    root.kind = root.kind == DocumentNode::Kind::Empty ? DocumentNode::Kind::Map : root.kind;
    MapReader reader(root, "a declaration", problems);
    Sections sections = readSections(reader, problems);
    return problems.empty() ? Result<Sections>(std::move(sections))
                            : problems.toError(Step::Parse, name);
}

} // namespace

Result<CellConfig> applyDeclaration(const CellConfig &current, const std::string &text,
                                    const std::string &fileName)
{
    const Result<DocumentNode> root = parseDocument(text, fileName);
    if (!ok(root)) {
        return errorOf(root);
    }
    Result<Sections> base = readSectionsInForce(current.source);
    if (!ok(base)) {
        return errorOf(base);
    }
    Problems problems;
    MapReader reader(valueOf(root), "a declaration", problems);
    const Sections change = readSections(reader, problems);
    if (const DocumentNode *remove = reader.find("remove")) {
        removeItems(valueOf(base), change, *remove, problems);
    }
    reader.reportUnknownKeys();
    mergeItems(valueOf(base), change);
    return readMerged(valueOf(base), fileName, problems);
}

Result<CellConfig> loadDeclarations(const std::string &source)
{
    const Result<Sections> sections = readSectionsInForce(source);
    if (!ok(sections)) {
        return errorOf(sections);
    }
    Problems problems;
    return readMerged(valueOf(sections), sourceInForceName, problems);
}

} // namespace gooseberry
