#include "job_request.h"

#include <boost/json.hpp>

#include <contract/contract.h>

namespace gooseberry {

namespace {

namespace json = boost::json;

constexpr std::int64_t maxAttemptLimit = 1000;

/** Key of a job file that a flag sets; an empty group means the top level. */
struct FlagKey
{
    std::string group;
    std::string key;
};

const std::map<std::string, FlagKey> &flagKeys()
{
    static const std::map<std::string, FlagKey> keys{{"queue", {"", "queue"}},
                                                     {"class", {"", "class"}},
                                                     {"tasks", {"", "tasks"}},
                                                     {"cores", {"perTask", "cores"}},
                                                     {"memory", {"perTask", "memory"}},
                                                     {"accelerators", {"perTask", "accelerators"}},
                                                     {"slots", {"perTask", "slots"}},
                                                     {"expected-run-time", {"", "expectedRunTime"}},
                                                     {"max-attempts", {"", "maxAttempts"}},
                                                     {"job-template", {"", "template"}},
                                                     {"service", {"", "service"}},
                                                     {"payload", {"", "payload"}}};
    return keys;
}

DocumentNode &findOrAddMember(DocumentNode &map, const std::string &key, const Position &position)
{
    for (DocumentNode &child : map.children) {
        if (child.key == key) {
            return child;
        }
    }
    DocumentNode child;
    child.key = key;
    child.position = position;
    child.keyPosition = position;
    map.children.push_back(std::move(child));
    return map.children.back();
}

/** Overrides keys of the file with flags, so that both go through the same checks. */
void applyFlags(DocumentNode &root, const std::map<std::string, std::string> &flags)
{
    for (const auto &[flag, value] : flags) {
        Position position;
        position.file = std::make_shared<const std::string>("--" + flag);
        DocumentNode scalar;
        scalar.kind = DocumentNode::Kind::Scalar;
        scalar.position = position;
        scalar.keyPosition = position;
        if (flag == "not-repeatable") {
            scalar.key = "repeatable";
            scalar.text = "false";
            findOrAddMember(root, scalar.key, position) = scalar;
        }
        const auto found = flagKeys().find(flag);
        if (found == flagKeys().end()) {
            continue;
        }
        scalar.key = found->second.key;
        scalar.text = value;
        DocumentNode *map = &root;
        if (!found->second.group.empty()) {
            map = &findOrAddMember(root, found->second.group, position);
            map->kind
                = map->kind == DocumentNode::Kind::Empty ? DocumentNode::Kind::Map : map->kind;
        }
        findOrAddMember(*map, scalar.key, position) = scalar;
    }
}

json::object resourcesJson(const Resources &amount)
{
    return json::object{{"cpuMillis", amount.cpu.value},
                        {"memoryBytes", amount.memory.value},
                        {"accelerators", amount.accelerators.value},
                        {"slots", amount.slots.value}};
}

void readClass(MapReader &reader, json::object &body, Problems &problems)
{
    const DocumentNode *node = reader.find("class");
    if (node == nullptr) {
        return;
    }
    if (!ok(parseJobClass(node->text))) {
        problems.add(node->position,
                     "'class' must be one of service, batch, gang, urgent, not "
                         + quoteForMessage(node->text));
    }
    body["class"] = node->text;
}

void readRunTime(MapReader &reader, json::object &body, Problems &problems)
{
    if (const DocumentNode *node = reader.find("expectedRunTime")) {
        const Result<std::chrono::milliseconds> time = parseDuration(node->text);
        if (ok(time)) {
            body["expectedRunTimeMs"] = valueOf(time).count();
        } else {
            problems.add(node->position, "'expectedRunTime' " + errorOf(time).message);
        }
    }
}

json::object readJob(const DocumentNode &root, Problems &problems)
{
    json::object body;
    MapReader reader(root, "a job", problems);
    body["queue"] = reader.requiredText("queue");
    readClass(reader, body, problems);
    body["tasks"] = reader.integer("tasks", 1, 1, maxTasksPerJob);
    if (const DocumentNode *perTask = reader.require("perTask")) {
        body["perTask"] = resourcesJson(readResources(*perTask, "'perTask'", false, problems));
    }
    readRunTime(reader, body, problems);
    body["repeatable"] = reader.boolean("repeatable", true);
    if (reader.find("maxAttempts") != nullptr) {
        body["maxAttempts"] = reader.integer("maxAttempts", 1, 1, maxAttemptLimit);
    }
    for (const char *key : {"template", "service", "payload"}) {
        if (reader.find(key) != nullptr) {
            body[key] = reader.text(key, {});
        }
    }
    reader.reportUnknownKeys();
    return body;
}

} // namespace

Result<std::string> makeJobRequest(const std::string &text, const std::string &fileName,
                                   const std::map<std::string, std::string> &flags)
{
    DocumentLimits limits;
    limits.maxSize = Bytes(2 * maxPayload.value);
    Result<DocumentNode> parsed = parseDocument(text, fileName, limits);
    if (!ok(parsed)) {
        return errorOf(parsed);
    }
    DocumentNode &root = valueOf(parsed);
    root.kind = root.kind == DocumentNode::Kind::Empty ? DocumentNode::Kind::Map : root.kind;
    applyFlags(root, flags);
    Problems problems;
    const json::object body = readJob(root, problems);
    if (!problems.empty()) {
        return problems.toError(Step::Parse, fileName);
    }
    return json::serialize(body);
}

} // namespace gooseberry
