#include <workflow/rules_in_force.h>

#include <algorithm>

namespace gooseberry {

namespace {

/** Longer than a proposal can take from the check of its request until it is committed. */
constexpr std::chrono::minutes proposalLifetime{1};

const QueueRule *findReplacement(const RoutingConfig &config, const QueueRule &retired)
{
    const auto found = std::find_if(
        config.queues.begin(), config.queues.end(), [&retired](const QueueRule &queue) {
            return queue.host == retired.host && queue.pathPrefix == retired.pathPrefix
                && queue.upstream == retired.upstream;
        });
    return found == config.queues.end() ? nullptr : &*found;
}

} // namespace

RulesInForce replaceConfig(const RulesInForce &current, RoutingConfig next, const NamesInUse &used,
                           CellTime now)
{
    RulesInForce rules{.config = std::make_shared<const RoutingConfig>(std::move(next)),
                       .retiredQueues = current.retiredQueues,
                       .retiredCustomers = current.retiredCustomers};
    if (current.config != nullptr) {
        for (const QueueRule &queue : current.config->queues) {
            rules.retiredQueues.push_back(RetiredQueue{.rule = queue, .retiredAt = now});
        }
        for (const CustomerRule &customer : current.config->customers) {
            rules.retiredCustomers.push_back(RetiredCustomer{.rule = customer, .retiredAt = now});
        }
    }
    std::erase_if(rules.retiredQueues, [&](const RetiredQueue &queue) {
        return findQueueByName(*rules.config, queue.rule.name) != nullptr
            || (now - queue.retiredAt > proposalLifetime && !used.queues.contains(queue.rule.name));
    });
    std::erase_if(rules.retiredCustomers, [&](const RetiredCustomer &customer) {
        return findCustomer(*rules.config, customer.rule.id) != nullptr
            || (now - customer.retiredAt > proposalLifetime
                && !used.customers.contains(customer.rule.id));
    });
    return rules;
}

const QueueRule *findQueueOfWork(const RulesInForce &rules, const std::string &name)
{
    if (const QueueRule *const active = findQueueByName(*rules.config, name)) {
        return active;
    }
    const auto retired
        = std::find_if(rules.retiredQueues.begin(), rules.retiredQueues.end(),
                       [&name](const RetiredQueue &queue) { return queue.rule.name == name; });
    if (retired == rules.retiredQueues.end()) {
        return nullptr;
    }
    const QueueRule *const replacement = findReplacement(*rules.config, retired->rule);
    return replacement != nullptr ? replacement : &retired->rule;
}

} // namespace gooseberry
