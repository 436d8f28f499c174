#pragma once

// A node of a cell without workers and adviser, for tests on loopback addresses.

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>

#include <boost/test/unit_test.hpp>
#include <cluster/cluster.h>

namespace gooseberry {

/** Fails every order, since these tests have no workers. */
class UnreachableWorkers : public WorkerOrders
{
public:
    void start(const WorkerRef & /*worker*/, const StartOrder & /*order*/,
               std::function<void(Result<StartReply>)> done) override
    {
        done(unreachable());
    }
    void stop(const WorkerRef & /*worker*/, const StopOrder & /*order*/,
              std::function<void(Status)> done) override
    {
        done(unreachable());
    }
    void renewLease(const WorkerRef & /*worker*/, const LeaseRenewalOrder & /*order*/,
                    std::function<void(Result<LeaseRenewalReply>)> done) override
    {
        done(unreachable());
    }

private:
    static Error unreachable()
    {
        return Error{.code = ErrorCode::Unavailable,
                     .step = Step::Send,
                     .peer = {},
                     .message = "no workers here",
                     .outcome = Outcome::NotRun};
    }
};

class NoAdviser : public AdviserAccess
{
public:
    void advise(const AdviceRequest & /*request*/, std::chrono::microseconds /*cost*/,
                std::function<void(Result<AdviceReply>)> done) override
    {
        done(AdviceReply{});
    }
    std::size_t senderCount() const override
    {
        return 1;
    }
};

/** One node with its executor and stubs. */
struct TestNode
{
    TestNode(NodeSettings settings, const Clock &clock)
        : executor(std::make_unique<Executor>(1U))
        , node(std::make_unique<ClusterNode>(std::move(settings), clock, *executor, workers,
                                             adviser))
    {
        BOOST_REQUIRE(ok(this->node->start()));
    }
    ~TestNode()
    {
        this->node->stop();
        this->executor->stop();
    }

    /** Blocks the node's only thread, so that its links stay open but nothing is sent. */
    void blockThread()
    {
        this->executor->after(Duration::zero(), [this]() {
            std::unique_lock lock(this->blockMutex);
            this->unblocked.wait(lock, [this]() { return !this->blocked; });
        });
    }
    void unblockThread()
    {
        {
            const std::lock_guard lock(this->blockMutex);
            this->blocked = false;
        }
        this->unblocked.notify_all();
    }

    UnreachableWorkers workers;
    NoAdviser adviser;
    std::mutex blockMutex;
    std::condition_variable unblocked;
    bool blocked = true;
    std::unique_ptr<Executor> executor;
    std::unique_ptr<ClusterNode> node;
};

/** Waits for a value that a callback delivers on another thread. */
template<typename T>
class Awaited
{
public:
    std::function<void(T)> callback()
    {
        return [this](T answer) {
            const std::lock_guard lock(this->mutex);
            this->value = std::move(answer);
            this->changed.notify_all();
        };
    }
    T get()
    {
        std::unique_lock lock(this->mutex);
        BOOST_REQUIRE(this->changed.wait_for(lock, std::chrono::seconds(30),
                                             [this]() { return this->value.has_value(); }));
        return *this->value;
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
    std::optional<T> value;
};

} // namespace gooseberry
