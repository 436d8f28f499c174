#pragma once

#include <functional>
#include <memory>

#include <base/base.h>

namespace gooseberry {

/** A thread pool that serves all connections of a process. Idle threads block without polling. */
class Executor
{
public:
    /** Starts the threads. */
    explicit Executor(unsigned threadCount);
    /** Stops and joins the threads; queued tasks that have not started are discarded. */
    ~Executor();

    Executor(const Executor &) = delete;
    Executor &operator=(const Executor &) = delete;

    /** Runs the task on one of the threads. */
    void post(std::function<void()> task);
    /** Runs the task once, no earlier than the delay from now. */
    void after(Duration delay, std::function<void()> task);
    /** Joins all threads after their current task. Must not be called from one of them. */
    void stop();

    /** Gives this library's sources access to the underlying io_context. */
    struct Impl;
    Impl &impl();

private:
    std::unique_ptr<Impl> owned;
};

} // namespace gooseberry
