#include <gateway/json_codec.h>

#include <charconv>
#include <set>

#include <boost/json.hpp>

namespace gooseberry {

namespace {

namespace json = boost::json;

constexpr std::size_t maxDepth = 16;

Error invalid(const std::string &message)
{
    return Error{.code = ErrorCode::InvalidArgument,
                 .step = Step::Parse,
                 .peer = {},
                 .message = message,
                 .outcome = Outcome::NotRun};
}

/** Reads the fields of one object and remembers the first error. */
class FieldReader
{
public:
    explicit FieldReader(const std::string &text)
    {
        json::parse_options options;
        options.max_depth = maxDepth;
        json::error_code error;
        json::value parsed = json::parse(text, error, {}, options);
        if (error) {
            this->firstError = "the body is not valid JSON: " + error.message();
        } else if (!parsed.is_object()) {
            this->firstError = "the body must be a JSON object";
        } else {
            this->object = std::move(parsed.as_object());
        }
    }
    FieldReader(const json::object &source, std::string initialPrefix)
        : object(source)
        , prefix(std::move(initialPrefix))
    {
    }

    std::string text(const std::string &name, const std::string &fallback)
    {
        const json::value *value = this->find(name);
        if (value == nullptr) {
            return fallback;
        }
        if (!value->is_string()) {
            this->recordError(name, "must be a string");
            return fallback;
        }
        return std::string(value->as_string());
    }

    std::string requiredText(const std::string &name)
    {
        if (!this->object.contains(name)) {
            this->recordError(name, "is required");
        }
        std::string value = this->text(name, {});
        if (value.empty()) {
            this->recordError(name, "must not be empty");
        }
        return value;
    }

    std::int64_t number(const std::string &name, std::int64_t fallback, std::int64_t highest)
    {
        const json::value *value = this->find(name);
        if (value == nullptr) {
            return fallback;
        }
        if (!value->is_int64() || value->as_int64() < 0 || value->as_int64() > highest) {
            this->recordError(name, "must be a whole number from 0 to " + std::to_string(highest));
            return fallback;
        }
        return value->as_int64();
    }

    bool boolean(const std::string &name, bool fallback)
    {
        const json::value *value = this->find(name);
        if (value == nullptr) {
            return fallback;
        }
        if (!value->is_bool()) {
            this->recordError(name, "must be true or false");
            return fallback;
        }
        return value->as_bool();
    }

    std::vector<std::string> textList(const std::string &name)
    {
        std::vector<std::string> all;
        const json::value *value = this->find(name);
        if (value == nullptr) {
            return all;
        }
        if (!value->is_array()) {
            this->recordError(name, "must be a list of strings");
            return all;
        }
        for (const json::value &item : value->as_array()) {
            if (item.is_string()) {
                all.emplace_back(item.as_string());
            } else {
                this->recordError(name, "must be a list of strings");
            }
        }
        return all;
    }

    Resources resources(const std::string &name)
    {
        constexpr std::int64_t highest = 1'000'000'000'000'000;
        const json::value *value = this->find(name);
        Resources amount;
        if (value == nullptr) {
            this->recordError(name, "is required");
            return amount;
        }
        if (!value->is_object()) {
            this->recordError(name, "must be an object");
            return amount;
        }
        FieldReader inner(value->as_object(), this->prefix + name + '.');
        amount.cpu = CpuMillis(inner.number("cpuMillis", 0, highest));
        amount.memory = Bytes(inner.number("memoryBytes", 0, highest));
        amount.accelerators = AcceleratorCount(inner.number("accelerators", 0, highest));
        amount.slots = SlotCount(inner.number("slots", 0, highest));
        if (const auto error = inner.checkAllRead()) {
            this->firstError = this->firstError.empty() ? error->message : this->firstError;
        }
        return amount;
    }

    void recordError(const std::string &name, const std::string &message)
    {
        if (this->firstError.empty()) {
            this->firstError = "field '" + this->prefix + name + "' " + message;
        }
    }

    /** Returns the first error; a field that was never read counts as one. */
    std::optional<Error> checkAllRead()
    {
        for (const auto &field : this->object) {
            if (!this->readNames.contains(std::string(field.key()))) {
                this->recordError(std::string(field.key()), "is not known");
            }
        }
        return this->firstError.empty() ? std::nullopt : std::optional(invalid(this->firstError));
    }

private:
    const json::value *find(const std::string &name)
    {
        this->readNames.insert(name);
        return this->object.if_contains(name);
    }

    json::object object;
    std::string prefix;
    std::string firstError;
    std::set<std::string> readNames;
};

json::object resourcesJson(const Resources &amount)
{
    return json::object{{"cpuMillis", amount.cpu.value},
                        {"memoryBytes", amount.memory.value},
                        {"accelerators", amount.accelerators.value},
                        {"slots", amount.slots.value}};
}

json::object taskJson(const JobRecord &job, std::uint32_t index)
{
    const TaskRecord &task = job.tasks[index];
    json::object object{{"index", index},
                        {"state", toString(task.state)},
                        {"attempt", task.attempt.value},
                        {"worker", task.instance.value}};
    if (task.attempt.value > 0) {
        object["waitedMs"] = (task.startedAt - job.submittedAt).count();
    }
    return object;
}

template<typename Number>
bool readNumber(const char *&position, const char *end, Number &number)
{
    const auto [next, error] = std::from_chars(position, end, number);
    position = next;
    return error == std::errc();
}

/** Returns the text in ASCII, since a refusal may quote bytes that are not valid UTF-8. */
std::string toPrintableAscii(std::string text)
{
    for (char &character : text) {
        const bool isPlain = character >= ' ' && character <= '~';
        character = isPlain ? character : '?';
    }
    return text;
}

void readHeldAttempts(FieldReader &fields, std::vector<AttemptId> &held)
{
    for (const std::string &text : fields.textList("held")) {
        const Result<AttemptId> attempt = readAttemptId(text);
        if (ok(attempt)) {
            held.push_back(valueOf(attempt));
        } else {
            fields.recordError("held", "must list attempts as JOB.INDEX.ATTEMPT");
        }
    }
}

} // namespace

Result<JobSpec> readJobSpec(const std::string &text)
{
    constexpr std::int64_t maxRunTimeMs = 1000LL * 60 * 60 * 24 * 365;
    constexpr std::int64_t maxAttemptLimit = 1000;
    FieldReader fields(text);
    JobSpec spec;
    spec.queue = QueueId(fields.requiredText("queue"));
    const std::string className = fields.text("class", "batch");
    spec.taskCount = static_cast<std::uint32_t>(fields.number("tasks", 1, maxTasksPerJob));
    spec.perTask = fields.resources("perTask");
    spec.expectedRunTime
        = std::chrono::milliseconds(fields.number("expectedRunTimeMs", 0, maxRunTimeMs));
    spec.repeatable = fields.boolean("repeatable", true);
    spec.maxAttempts = static_cast<std::uint32_t>(fields.number("maxAttempts", 3, maxAttemptLimit));
    spec.jobTemplate = fields.text("template", {});
    spec.service = fields.text("service", {});
    spec.payload = fields.text("payload", {});
    if (const auto error = fields.checkAllRead()) {
        return *error;
    }
    const Result<JobClass> jobClass = parseJobClass(className);
    if (!ok(jobClass)) {
        return errorOf(jobClass);
    }
    spec.jobClass = valueOf(jobClass);
    return spec;
}

Result<WorkerAnnouncement> readAnnouncement(const std::string &text)
{
    FieldReader fields(text);
    WorkerAnnouncement announcement;
    InstanceSpec &instance = announcement.instance;
    instance.id = InstanceId(fields.requiredText("id"));
    instance.rack = RackId(fields.requiredText("rack"));
    instance.domain = FailureDomainId(fields.requiredText("domain"));
    instance.capacity = fields.resources("capacity");
    instance.upstream.service = fields.text("service", {});
    instance.upstream.incarnation = fields.requiredText("incarnation");
    const std::string address = fields.requiredText("address");
    readHeldAttempts(fields, announcement.report.held);
    if (const auto error = fields.checkAllRead()) {
        return *error;
    }
    const Result<Address> parsed = parseAddress(address);
    if (!ok(parsed)) {
        return errorOf(parsed);
    }
    instance.upstream.address = valueOf(parsed);
    announcement.report.worker = instance.id;
    announcement.report.incarnation = instance.upstream.incarnation;
    return announcement;
}

Result<WorkerReport> readReport(const InstanceId &worker, const std::string &text)
{
    FieldReader fields(text);
    WorkerReport report;
    report.worker = worker;
    report.incarnation = fields.requiredText("incarnation");
    report.seenTerm = Term(static_cast<std::uint64_t>(fields.number("seenTerm", 0, INT64_MAX)));
    report.seenGeneration
        = static_cast<std::uint64_t>(fields.number("seenGeneration", 0, INT64_MAX));
    readHeldAttempts(fields, report.held);
    if (const auto error = fields.checkAllRead()) {
        return *error;
    }
    return report;
}

Result<Key> readKey(const std::string &text)
{
    FieldReader fields(text);
    Key key;
    key.id = KeyId(fields.requiredText("id"));
    key.team = TeamId(fields.requiredText("team"));
    key.salt = fields.requiredText("salt");
    key.hash = fields.requiredText("hash");
    if (const auto error = fields.checkAllRead()) {
        return *error;
    }
    return key;
}

Result<AttemptId> readAttemptId(const std::string &text)
{
    AttemptId attempt;
    const char *position = text.data();
    const char *end = position + text.size();
    const bool valid = readNumber(position, end, attempt.task.job.value) && position != end
        && *position++ == '.' && readNumber(position, end, attempt.task.index) && position != end
        && *position++ == '.' && readNumber(position, end, attempt.attempt.value)
        && position == end;
    if (!valid) {
        return invalid("'" + text + "' is not an attempt of the form JOB.INDEX.ATTEMPT");
    }
    return attempt;
}

std::string writeError(const Error &error)
{
    return json::serialize(
        json::object{{"code", toString(error.code)},
                     {"reason", error.reason.empty() ? toString(error.code) : error.reason},
                     {"step", toString(error.step)},
                     {"peer", toPrintableAscii(error.peer)},
                     {"outcome", toString(error.outcome)},
                     {"message", toPrintableAscii(error.message)}});
}

std::string writeSubmitReply(const SubmitReply &reply)
{
    return json::serialize(json::object{{"job", std::to_string(reply.job.value)}});
}

std::string writeJob(const JobRecord &job)
{
    json::array tasks;
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        tasks.push_back(taskJson(job, index));
    }
    return json::serialize(json::object{{"job", std::to_string(job.id.value)},
                                        {"state", toString(overallState(job))},
                                        {"team", job.team.value},
                                        {"queue", job.spec->queue.value},
                                        {"class", toString(job.spec->jobClass)},
                                        {"tasks", std::move(tasks)}});
}

std::string writeLease(const WorkerLease &lease)
{
    json::array stop;
    for (const AttemptId &attempt : lease.stop) {
        stop.emplace_back(toString(attempt));
    }
    return json::serialize(json::object{{"term", lease.term.value},
                                        {"generation", lease.generation},
                                        {"leaseMs", lease.length.count()},
                                        {"stop", std::move(stop)}});
}

std::string writeStart(const StartMessage &message)
{
    const JobSpec &spec = *message.spec;
    return json::serialize(json::object{{"attempt", toString(message.attempt)},
                                        {"term", message.term.value},
                                        {"generation", message.leaseGeneration},
                                        {"incarnation", message.incarnation},
                                        {"class", toString(spec.jobClass)},
                                        {"template", spec.jobTemplate},
                                        {"service", spec.service},
                                        {"resources", resourcesJson(spec.perTask)},
                                        {"payload", spec.payload}});
}

std::string writeTop(const std::vector<TeamOverview> &teams, const CellOverview &cell)
{
    json::array rows;
    for (const TeamOverview &team : teams) {
        rows.push_back(json::object{{"team", team.team.value},
                                    {"running", resourcesJson(team.running)},
                                    {"limit", resourcesJson(team.limit.maximum)},
                                    {"dominantShare", team.dominantShare}});
    }
    json::array queues;
    for (const auto &[queue, load] : cell.queues) {
        queues.push_back(json::object{
            {"queue", queue.value}, {"waiting", load.waiting}, {"running", load.running}});
    }
    return json::serialize(json::object{{"teams", std::move(rows)},
                                        {"queues", std::move(queues)},
                                        {"workers", cell.workers},
                                        {"capacity", resourcesJson(cell.capacity)}});
}

std::string writeConfig(const ConfigImage &image)
{
    json::array keys;
    for (const Key &key : image.keys) {
        keys.emplace_back(key.id.value);
    }
    json::array withdrawn;
    for (const KeyId &id : image.withdrawnKeys) {
        withdrawn.emplace_back(id.value);
    }
    json::array domainsOut;
    for (const FailureDomainId &domain : image.domainsOut) {
        domainsOut.emplace_back(domain.value);
    }
    return json::serialize(json::object{{"version", image.version.value},
                                        {"declarations", image.config.source},
                                        {"keys", std::move(keys)},
                                        {"withdrawnKeys", std::move(withdrawn)},
                                        {"domainsOut", std::move(domainsOut)}});
}

} // namespace gooseberry
