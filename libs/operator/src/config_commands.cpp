#include <set>

#include <boost/json.hpp>

#include <contract/contract.h>

#include "commands.h"
#include "key_request.h"
#include "output.h"

namespace gooseberry {

namespace {

namespace json = boost::json;

/** The configuration in force, from GET /v1/config. */
struct ActiveConfig
{
    ConfigVersion version;
    CellConfig config;
    std::set<KeyId> keys;
    std::set<KeyId> withdrawnKeys;
};

struct NamedText
{
    std::string name;
    std::string text;
};

std::set<KeyId> keyIds(const json::object &body, const std::string &name)
{
    std::set<KeyId> ids;
    for (const json::value &item : arrayMember(body, name)) {
        if (item.is_string()) {
            ids.emplace(std::string(item.as_string()));
        }
    }
    return ids;
}

Result<json::object> fetchConfigBody(Context &context)
{
    return requestJson(context, makeRequest("GET", "/v1/config"), context.invocation.token);
}

Result<ActiveConfig> fetchConfig(Context &context)
{
    const Result<json::object> body = fetchConfigBody(context);
    if (!ok(body)) {
        return errorOf(body);
    }
    ActiveConfig active;
    active.version
        = ConfigVersion(static_cast<std::uint64_t>(numberMember(valueOf(body), "version")));
    active.keys = keyIds(valueOf(body), "keys");
    active.withdrawnKeys = keyIds(valueOf(body), "withdrawnKeys");
    Result<CellConfig> config = loadDeclarations(textMember(valueOf(body), "declarations"));
    if (!ok(config)) {
        return errorOf(config);
    }
    active.config = std::move(valueOf(config));
    return active;
}

Result<std::vector<NamedText>> readFiles(const std::vector<std::string> &names)
{
    std::vector<NamedText> files;
    for (const std::string &name : names) {
        Result<std::string> text = readFile(name);
        if (!ok(text)) {
            return errorOf(text);
        }
        files.push_back(NamedText{.name = name, .text = std::move(valueOf(text))});
    }
    return files;
}

/** Returns the configuration after each of the files, applied one after the other. */
Result<std::vector<CellConfig>> applyFiles(const CellConfig &current,
                                           const std::vector<NamedText> &files)
{
    std::vector<CellConfig> configs;
    for (const NamedText &file : files) {
        Result<CellConfig> next
            = applyDeclaration(configs.empty() ? current : configs.back(), file.text, file.name);
        if (!ok(next)) {
            return errorOf(next);
        }
        configs.push_back(std::move(valueOf(next)));
    }
    return configs;
}

Result<CellUsage> fetchUsage(Context &context)
{
    const Result<json::object> body
        = requestJson(context, makeRequest("GET", "/v1/top"), context.invocation.token);
    if (!ok(body)) {
        return errorOf(body);
    }
    CellUsage usage;
    usage.capacity = resourcesMember(valueOf(body), "capacity");
    for (const json::value &row : arrayMember(valueOf(body), "teams")) {
        if (row.is_object()) {
            usage.teams.push_back(TeamUsage{.team = TeamId(textMember(row.as_object(), "team")),
                                            .running = resourcesMember(row.as_object(), "running"),
                                            .reserved = {}});
        }
    }
    for (const json::value &row : arrayMember(valueOf(body), "queues")) {
        if (row.is_object()) {
            const auto count = [&row](const char *name) {
                return static_cast<std::uint32_t>(numberMember(row.as_object(), name));
            };
            usage.queues[QueueId(textMember(row.as_object(), "queue"))]
                = QueueLoad{.waiting = count("waiting"), .running = count("running")};
        }
    }
    return usage;
}

json::object planJson(const Plan &plan, ConfigVersion version)
{
    json::array items;
    for (const PlanItem &item : plan.items) {
        items.push_back(json::object{{"action", toString(item.action)},
                                     {"kind", item.kind},
                                     {"name", item.name},
                                     {"detail", item.detail}});
    }
    json::array findings;
    for (const PlanFinding &finding : plan.findings) {
        findings.push_back(json::object{{"severity", toString(finding.severity)},
                                        {"subject", finding.subject},
                                        {"message", finding.message}});
    }
    return json::object{{"version", version.value},
                        {"changes", std::move(items)},
                        {"findings", std::move(findings)}};
}

std::string planText(const Plan &plan, ConfigVersion version)
{
    if (plan.unchanged()) {
        return "unchanged: version " + std::to_string(version.value) + " stays in force\n";
    }
    Table table{.titles = {"action", "kind", "name", "detail"}, .rows = {}};
    for (const PlanItem &item : plan.items) {
        table.rows.push_back({toString(item.action), item.kind, item.name, item.detail});
    }
    std::string text
        = "against version " + std::to_string(version.value) + ":\n" + writeTable(table);
    for (const PlanFinding &finding : plan.findings) {
        text += toString(finding.severity) + ": " + finding.subject + ' ' + finding.message + '\n';
    }
    return text;
}

/** Sends one file as the next version. Returns whether it changed anything. */
Result<bool> putFile(Context &context, const NamedText &file, const CellConfig &before,
                     const CellConfig &after, ConfigVersion &version)
{
    if (after.source == before.source) {
        return false;
    }
    const ConfigVersion next(version.value + 1);
    HttpRequest request = makeRequest("PUT", "/v1/config?version=" + std::to_string(next.value));
    request.headers["content-type"] = "application/yaml";
    request.body = file.text;
    const Result<json::object> reply
        = requestJson(context, std::move(request), context.invocation.token);
    if (!ok(reply)) {
        Error error = errorOf(reply);
        if (error.code == ErrorCode::Conflict) {
            error.message = "another change won: " + error.message + "; " + file.name
                + " was not applied, run plan again";
        }
        return error;
    }
    version = next;
    return true;
}

struct CreatedKeys
{
    json::array list;
    std::string text;
};

/** Creates the secrets of declared keys that the cell does not know, and sends only their hashes.
 */
Status createMissingKeys(Context &context, const ActiveConfig &active, const CellConfig &config,
                         CreatedKeys &created)
{
    for (const Customer &customer : config.customers) {
        for (const Team &team : customer.teams) {
            for (const KeyId &id : team.keys) {
                if (active.keys.contains(id) || active.withdrawnKeys.contains(id)) {
                    continue;
                }
                const Result<std::string> credential = grantNewKey(context, id, team.id);
                if (!ok(credential)) {
                    return errorOf(credential);
                }
                created.list.push_back(json::object{
                    {"id", id.value}, {"team", team.id.value}, {"key", valueOf(credential)}});
                created.text
                    += "key for " + team.id.value + ", shown once: " + valueOf(credential) + '\n';
            }
        }
    }
    return Done{};
}

std::string appliedText(const std::vector<std::string> &changed, ConfigVersion version)
{
    if (changed.empty()) {
        return "unchanged: version " + std::to_string(version.value) + " stays in force\n";
    }
    std::string text;
    for (const std::string &name : changed) {
        text += "applied: " + name + '\n';
    }
    return text + "version " + std::to_string(version.value) + " is in force\n";
}

} // namespace

ExitCode runValidate(Context &context)
{
    const Result<std::vector<NamedText>> files = readFiles(context.invocation.arguments);
    if (!ok(files)) {
        return reportError(context, errorOf(files));
    }
    const Result<std::vector<CellConfig>> configs = applyFiles({}, valueOf(files));
    if (!ok(configs)) {
        return reportError(context, errorOf(configs));
    }
    const CellConfig &config = valueOf(configs).back();
    print(context,
          json::object{{"valid", true},
                       {"domains", config.domains.size()},
                       {"customers", config.customers.size()}},
          "valid: " + std::to_string(config.domains.size()) + " domains, "
              + std::to_string(config.customers.size()) + " customers\n");
    return ExitCode::Done;
}

ExitCode runPlan(Context &context)
{
    const Result<std::vector<NamedText>> files = readFiles(context.invocation.arguments);
    if (!ok(files)) {
        return reportError(context, errorOf(files));
    }
    const Result<ActiveConfig> active = fetchConfig(context);
    if (!ok(active)) {
        return reportError(context, errorOf(active));
    }
    const CellConfig &current = valueOf(active).config;
    const Result<std::vector<CellConfig>> configs = applyFiles(current, valueOf(files));
    if (!ok(configs)) {
        return reportError(context, errorOf(configs));
    }
    const Result<CellUsage> usage = fetchUsage(context);
    if (!ok(usage)) {
        return reportError(context, errorOf(usage));
    }
    const Plan plan = planChange(current, valueOf(configs).back(), valueOf(usage));
    const ConfigVersion version = valueOf(active).version;
    print(context, planJson(plan, version), planText(plan, version));
    return ExitCode::Done;
}

ExitCode runApply(Context &context)
{
    const Result<std::vector<NamedText>> files = readFiles(context.invocation.arguments);
    if (!ok(files)) {
        return reportError(context, errorOf(files));
    }
    const Result<ActiveConfig> active = fetchConfig(context);
    if (!ok(active)) {
        return reportError(context, errorOf(active));
    }
    // All files are checked before the first one is sent.
    const Result<std::vector<CellConfig>> configs
        = applyFiles(valueOf(active).config, valueOf(files));
    if (!ok(configs)) {
        return reportError(context, errorOf(configs));
    }
    ConfigVersion version = valueOf(active).version;
    std::vector<std::string> changed;
    json::array changedNames;
    Status status = Done{};
    for (std::size_t i = 0; i < valueOf(files).size() && ok(status); ++i) {
        const CellConfig &before = i == 0 ? valueOf(active).config : valueOf(configs)[i - 1];
        const NamedText &file = valueOf(files)[i];
        const Result<bool> put = putFile(context, file, before, valueOf(configs)[i], version);
        if (!ok(put)) {
            status = errorOf(put);
        } else if (valueOf(put)) {
            changed.push_back(file.name);
            changedNames.emplace_back(file.name);
        }
    }
    CreatedKeys keys;
    if (ok(status)) {
        status = createMissingKeys(context, valueOf(active), valueOf(configs).back(), keys);
    }
    // What was done is shown even if a later step failed, since secrets are shown only once.
    print(context,
          json::object{{"version", version.value},
                       {"changed", std::move(changedNames)},
                       {"keys", std::move(keys.list)}},
          appliedText(changed, version) + keys.text);
    return ok(status) ? ExitCode::Done : reportError(context, errorOf(status));
}

ExitCode runGet(Context &context)
{
    if (!context.invocation.arguments.empty() && context.invocation.arguments[0] != "config") {
        context.err << "gooseberryctl: get knows only 'config'\n";
        return ExitCode::Usage;
    }
    const Result<json::object> body = fetchConfigBody(context);
    if (!ok(body)) {
        return reportError(context, errorOf(body));
    }
    print(context, valueOf(body),
          "# version " + std::to_string(numberMember(valueOf(body), "version")) + '\n'
              + textMember(valueOf(body), "declarations"));
    return ExitCode::Done;
}

} // namespace gooseberry
