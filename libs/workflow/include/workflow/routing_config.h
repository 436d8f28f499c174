#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <base/base.h>

namespace gooseberry {

/** What a queue's placement adviser takes for one answer, and how long its tickets last. */
struct AdviceTerms
{
    std::chrono::microseconds decision{0};
    std::chrono::microseconds perWorker{0};
    std::chrono::milliseconds ticketValidity{0};

    bool operator==(const AdviceTerms &other) const = default;
};

/** A queue: which requests it takes, which upstream runs its work, and what callers expect. */
struct QueueRule
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string upstream;
    std::chrono::milliseconds requestTimeout{0};
    /** Added to the work's own length to get the time by which it should have completed. */
    std::chrono::milliseconds completionTarget{0};
    /** How many times the work's own length may pass before it completes. */
    double slackFactor = 1.0;
    /** 0 goes first. */
    std::uint32_t priority = 0;
    /** How many runs of one task may fail before the whole workflow fails. */
    std::uint32_t attempts = 1;
    /** Set where only workers that the adviser names may run a step. */
    std::optional<AdviceTerms> advice;
    /** Takes work without a key. */
    bool openToAll = false;

    bool operator==(const QueueRule &other) const = default;
};

/** A pool of workers. */
struct UpstreamRule
{
    std::string name;
    /** The workers refuse what does not fit; otherwise they start whatever they are told to. */
    bool workersGuardCapacity = false;
    /** Its machines are switched off until they are moved to another pool. */
    bool standby = false;
    std::string healthPath;

    bool operator==(const UpstreamRule &other) const = default;
};

/** A customer with the keys that it presents, its share when all is full, and its upper limit. */
struct CustomerRule
{
    CustomerId id;
    std::vector<std::string> keys;
    double weight = 1.0;
    /** A dimension of 0 has no limit. */
    Resources limit;

    bool operator==(const CustomerRule &other) const = default;
};

/** One version of everything that operators declare. The highest version is in force. */
struct RoutingConfig
{
    ConfigVersion version;
    std::vector<QueueRule> queues;
    std::vector<UpstreamRule> upstreams;
    std::vector<CustomerRule> customers;
    /** The operator's text, returned to readers unchanged. */
    std::string document;

    bool operator==(const RoutingConfig &other) const = default;
};

/** Returns why the configuration can't be put into force, or Done. */
Status checkConfig(const RoutingConfig &config);

/** Returns the queue of the host with the longest prefix that the path begins with, or null. */
const QueueRule *findQueue(const RoutingConfig &config, const std::string &host,
                           const std::string &path);
const QueueRule *findQueueByName(const RoutingConfig &config, const std::string &name);
/** Returns the customer that presents the key, or null. */
const CustomerRule *findCustomerByKey(const RoutingConfig &config, const std::string &key);
const CustomerRule *findCustomer(const RoutingConfig &config, const CustomerId &id);
const UpstreamRule *findUpstream(const RoutingConfig &config, const std::string &name);

} // namespace gooseberry
