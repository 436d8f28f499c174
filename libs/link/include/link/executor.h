#pragma once

#include <functional>
#include <memory>

#include <base/base.h>

namespace gooseberry {

/** The threads that serve all connections of a process. They sleep while nothing happens. */
class Executor
{
public:
    /** Starts the threads. */
    explicit Executor(unsigned threadCount);
    /** Stops and joins the threads; work that has not begun is dropped. */
    ~Executor();

    Executor(const Executor &) = delete;
    Executor &operator=(const Executor &) = delete;

    /** Runs the task on one of the threads. */
    void post(std::function<void()> task);
    /** Runs the task after the delay, at least once the delay has passed. */
    void after(Duration delay, std::function<void()> task);
    /** Ends and joins all threads after their current task. Not to be called from one of them. */
    void stop();

    /** The io_context behind it, for use within this library. */
    struct Impl;
    Impl &impl();

private:
    std::unique_ptr<Impl> owned;
};

} // namespace gooseberry
