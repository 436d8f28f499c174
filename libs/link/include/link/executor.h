#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <base/base.h>

namespace gooseberry {

/**
 * A thread pool that serves all connections of a process. Idle threads block without polling. A
 * task that throws ends only itself: its exception is reported and counted, and the thread goes on.
 */
class Executor
{
public:
    /** Receives the text of an exception, on the thread whose task has thrown it. */
    using ExceptionHandler = std::function<void(const std::string &what)>;

    /** Starts the threads. Without a handler, exceptions are written to standard error. */
    explicit Executor(unsigned threadCount, ExceptionHandler onException = {});
    /** Stops and joins the threads; queued tasks that have not started are discarded. */
    ~Executor();

    Executor(const Executor &) = delete;
    Executor &operator=(const Executor &) = delete;

    /** Runs the task on one of the threads. */
    void post(std::function<void()> task);
    /** Runs the task once, no earlier than the delay from now. */
    void after(Duration delay, std::function<void()> task);
    /** Returns how many tasks have thrown an exception. */
    std::uint64_t failedTasks() const;
    /** Joins all threads after their current task. Must not be called from one of them. */
    void stop();

    /** Gives this library's sources access to the underlying io_context. */
    struct Impl;
    Impl &impl();

private:
    std::unique_ptr<Impl> owned;
};

} // namespace gooseberry
