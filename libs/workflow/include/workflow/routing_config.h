#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <base/base.h>

namespace gooseberry {

/** Response time of a queue's placement adviser and the validity of the tickets that it issues. */
struct AdviserTiming
{
    /** Fixed part of the response time. */
    std::chrono::microseconds decision{0};
    /** Added to the response time for each worker in the request. */
    std::chrono::microseconds timePerWorker{0};
    std::chrono::milliseconds ticketValidity{0};

    bool operator==(const AdviserTiming &other) const = default;
};

/** A queue: the requests it matches, the upstream that runs its tasks, and its deadlines. */
struct QueueRule
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string upstream;
    std::chrono::milliseconds requestTimeout{0};
    /** Added to the workflow's estimated duration to get its completion target. */
    std::chrono::milliseconds completionTarget{0};
    /** Factor on the workflow's estimated duration within which it should complete. */
    double slackFactor = 1.0;
    /** 0 is the highest priority. */
    std::uint32_t priority = 0;
    /** The workflow fails when one task, or one gang, has failed this many times. */
    std::uint32_t attempts = 1;
    /** Set if steps may run only on workers that the adviser allows. */
    std::optional<AdviserTiming> advice;
    /** Accepts requests without a key. */
    bool openToAll = false;

    bool operator==(const QueueRule &other) const = default;
};

/** A pool of workers. */
struct UpstreamRule
{
    std::string name;
    /** Workers refuse runs that exceed their capacity; otherwise they start every run. */
    bool workersEnforceCapacity = false;
    /** The pool's machines are powered off until they are moved to another pool. */
    bool standby = false;
    std::string healthPath;

    bool operator==(const UpstreamRule &other) const = default;
};

/** A customer with its API keys, its share under contention, and its upper limit. */
struct CustomerRule
{
    CustomerId id;
    std::vector<std::string> keys;
    double weight = 1.0;
    /** A dimension of 0 has no limit. */
    Resources limit;

    bool operator==(const CustomerRule &other) const = default;
};

/** One version of the operators' configuration. The highest version is active. */
struct RoutingConfig
{
    ConfigVersion version;
    std::vector<QueueRule> queues;
    std::vector<UpstreamRule> upstreams;
    std::vector<CustomerRule> customers;
    /** The operator's original text, returned unchanged when the configuration is read. */
    std::string document;

    bool operator==(const RoutingConfig &other) const = default;
};

/** Returns Done if the configuration is valid, or an error that says what is wrong. */
Status checkConfig(const RoutingConfig &config);

/** Returns the host's queue with the longest prefix that matches the path, or null. */
const QueueRule *findQueue(const RoutingConfig &config, const std::string &host,
                           const std::string &path);
const QueueRule *findQueueByName(const RoutingConfig &config, const std::string &name);
/** Returns the customer that owns the key, or null. */
const CustomerRule *findCustomerByKey(const RoutingConfig &config, const std::string &key);
const CustomerRule *findCustomer(const RoutingConfig &config, const CustomerId &id);
const UpstreamRule *findUpstream(const RoutingConfig &config, const std::string &name);

} // namespace gooseberry
