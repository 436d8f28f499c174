#include <workflow/routing_config.h>

#include <algorithm>
#include <map>
#include <set>

namespace gooseberry {

namespace {

Error invalid(const std::string &message)
{
    return Error{.code = ErrorCode::InvalidArgument,
                 .step = Step::Parse,
                 .peer = {},
                 .message = message,
                 .outcome = Outcome::NotRun};
}

template<typename Items, typename Predicate>
const typename Items::value_type *findMatching(const Items &items, const Predicate &matches)
{
    const auto found = std::find_if(items.begin(), items.end(), matches);
    return found == items.end() ? nullptr : &*found;
}

Status checkQueues(const RoutingConfig &config)
{
    std::set<std::pair<std::string, std::string>> routes;
    std::set<std::string> names;
    for (const QueueRule &queue : config.queues) {
        if (findUpstream(config, queue.upstream) == nullptr) {
            return invalid("queue '" + queue.name + "' refers to the unknown upstream '"
                           + queue.upstream + "'");
        }
        if (!routes.emplace(queue.host, queue.pathPrefix).second) {
            return invalid("queue '" + queue.name
                           + "' has the same host and prefix as another queue");
        }
        if (!names.insert(queue.name).second) {
            return invalid("two queues are named '" + queue.name + "'");
        }
        if (queue.requestTimeout <= std::chrono::milliseconds(0)) {
            return invalid("queue '" + queue.name + "' has no request timeout");
        }
    }
    return Done{};
}

} // namespace

Status checkConfig(const RoutingConfig &config)
{
    if (Status queues = checkQueues(config); !ok(queues)) {
        return queues;
    }
    std::map<std::string, CustomerId> owners;
    for (const CustomerRule &customer : config.customers) {
        if (!(customer.weight >= 0.0)) {
            return invalid("customer '" + customer.id.value + "' has a negative weight");
        }
        for (const std::string &key : customer.keys) {
            const auto [owner, added] = owners.emplace(key, customer.id);
            if (!added && owner->second != customer.id) {
                return invalid("customers '" + owner->second.value + "' and '" + customer.id.value
                               + "' share a key");
            }
        }
    }
    return Done{};
}

const QueueRule *findQueue(const RoutingConfig &config, const std::string &host,
                           const std::string &path)
{
    const QueueRule *best = nullptr;
    for (const QueueRule &queue : config.queues) {
        if (queue.host == host && path.starts_with(queue.pathPrefix)
            && (best == nullptr || queue.pathPrefix.size() > best->pathPrefix.size())) {
            best = &queue;
        }
    }
    return best;
}

const QueueRule *findQueueByName(const RoutingConfig &config, const std::string &name)
{
    return findMatching(config.queues, [&](const QueueRule &queue) { return queue.name == name; });
}

const CustomerRule *findCustomerByKey(const RoutingConfig &config, const std::string &key)
{
    return findMatching(config.customers, [&](const CustomerRule &customer) {
        return std::find(customer.keys.begin(), customer.keys.end(), key) != customer.keys.end();
    });
}

const CustomerRule *findCustomer(const RoutingConfig &config, const CustomerId &id)
{
    return findMatching(config.customers,
                        [&](const CustomerRule &customer) { return customer.id == id; });
}

const UpstreamRule *findUpstream(const RoutingConfig &config, const std::string &name)
{
    return findMatching(config.upstreams,
                        [&](const UpstreamRule &upstream) { return upstream.name == name; });
}

} // namespace gooseberry
