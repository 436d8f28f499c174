#include <policy/correction.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace gooseberry {

namespace {

/** Returns the nearest-rank percentile of the values, which must not be empty. */
template<typename Value>
Value percentileOf(std::vector<Value> values, double percentile)
{
    std::sort(values.begin(), values.end());
    const double position = std::ceil(percentile * static_cast<double>(values.size())) - 1.0;
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(std::clamp(position, 0.0, last))];
}

template<typename Getter>
auto percentileOfField(const TemplateHistory &history, double percentile, Getter get)
{
    std::vector<decltype(get(history.samples.front()))> values;
    values.reserve(history.samples.size());
    for (const RunSample &sample : history.samples) {
        values.push_back(get(sample));
    }
    return percentileOf(std::move(values), percentile);
}

/** By how much a task exceeds its declared size in one dimension. */
struct Excess
{
    const TaskUsage *usage = nullptr;
    std::int64_t amount = 0;
};

/** Returns the tasks above their declared size, in the order in which to throttle or stop them. */
template<typename Getter>
std::vector<Excess> tasksAboveSize(const std::vector<TaskUsage> &tasks, bool stops, Getter get)
{
    std::vector<Excess> found;
    for (const TaskUsage &usage : tasks) {
        const std::int64_t amount = get(usage.actual) - get(usage.task.amount);
        if (amount > 0) {
            found.push_back(Excess{.usage = &usage, .amount = amount});
        }
    }
    std::sort(found.begin(), found.end(), [stops](const Excess &a, const Excess &b) {
        const auto rank = [stops](const Excess &entry) {
            const RunningTask &task = entry.usage->task;
            return std::tuple(stops && !task.repeatable, stops && !task.checkpointable,
                              -entry.amount, task.attempt);
        };
        return rank(a) < rank(b);
    });
    return found;
}

/** Appends copies of prototype for as many tasks as it takes to bring usage to the threshold. */
template<typename Getter>
void appendCorrections(std::vector<CorrectionDecision> &decisions,
                       const std::vector<TaskUsage> &tasks, double threshold,
                       const CorrectionDecision &prototype, Getter get)
{
    std::int64_t used = 0;
    for (const TaskUsage &usage : tasks) {
        used += get(usage.actual);
    }
    const bool stops = prototype.action == CorrectiveAction::Stop;
    for (const Excess &excess : tasksAboveSize(tasks, stops, get)) {
        if (static_cast<double>(used) <= threshold) {
            return;
        }
        CorrectionDecision decision = prototype;
        decision.attempt = excess.usage->task.attempt;
        decision.instance = excess.usage->task.instance;
        decisions.push_back(decision);
        used -= stops ? get(excess.usage->actual) : excess.amount;
    }
}

} // namespace

void addSample(TemplateHistory &history, const RunSample &sample,
               const CorrectionSettings &settings)
{
    history.samples.push_back(sample);
    while (history.samples.size() > settings.window) {
        history.samples.pop_front();
    }
}

std::optional<TemplateEstimate> estimateOf(const TemplateHistory &history,
                                           const CorrectionSettings &settings)
{
    if (history.samples.empty() || history.samples.size() < settings.minSamples) {
        return std::nullopt;
    }
    const double percentile = settings.percentile;
    TemplateEstimate estimate;
    estimate.samples = history.samples.size();
    estimate.runTime = percentileOfField(history, percentile,
                                         [](const RunSample &sample) { return sample.runTime; });
    estimate.usage.cpu = percentileOfField(
        history, percentile, [](const RunSample &sample) { return sample.peakUsage.cpu; });
    estimate.usage.memory = percentileOfField(
        history, percentile, [](const RunSample &sample) { return sample.peakUsage.memory; });
    return estimate;
}

std::optional<std::chrono::milliseconds>
correctedRunTime(const JobSpec &spec, const std::optional<TemplateEstimate> &estimate,
                 const CorrectionSettings &settings)
{
    if (spec.jobClass == JobClass::Service) {
        return std::nullopt;
    }
    if (estimate) {
        return estimate->runTime;
    }
    // Longer run times would overflow the clock, and planning treats them like unknown ones.
    constexpr std::chrono::hours longestPlanned{24 * 365};
    if (spec.expectedRunTime <= std::chrono::milliseconds::zero()
        || spec.expectedRunTime > longestPlanned) {
        return std::nullopt;
    }
    return spec.expectedRunTime * settings.declaredRunTimeFactor;
}

std::vector<CorrectionDecision> correctUsage(const Resources &capacity,
                                             std::vector<TaskUsage> tasks,
                                             const CorrectionSettings &settings)
{
    std::vector<CorrectionDecision> decisions;
    appendCorrections(decisions, tasks,
                      settings.stopThreshold * static_cast<double>(capacity.memory.value),
                      CorrectionDecision{.attempt = {},
                                         .instance = {},
                                         .action = CorrectiveAction::Stop,
                                         .dimension = Dimension::Memory},
                      [](const Resources &amount) { return amount.memory.value; });
    // Tasks to be stopped are not throttled as well.
    std::erase_if(tasks, [&decisions](const TaskUsage &usage) {
        return std::any_of(decisions.begin(), decisions.end(), [&usage](const auto &decision) {
            return decision.attempt == usage.task.attempt;
        });
    });
    appendCorrections(decisions, tasks,
                      settings.throttleThreshold * static_cast<double>(capacity.cpu.value),
                      CorrectionDecision{.attempt = {},
                                         .instance = {},
                                         .action = CorrectiveAction::Throttle,
                                         .dimension = Dimension::Cpu},
                      [](const Resources &amount) { return amount.cpu.value; });
    return decisions;
}

} // namespace gooseberry
