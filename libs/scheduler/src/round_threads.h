#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace gooseberry {

/** A pool of decision threads that sleep on a condition variable between rounds. */
class RoundThreads
{
public:
    /** Starts count - 1 threads, since the caller of run() also does its share of the work. */
    explicit RoundThreads(unsigned count);
    ~RoundThreads();
    RoundThreads(const RoundThreads &) = delete;
    RoundThreads &operator=(const RoundThreads &) = delete;

    /** Calls work(thread) once on every thread and returns when all calls have returned. */
    void run(const std::function<void(unsigned)> &work);
    unsigned count() const;

private:
    void runWorker(unsigned thread);

    std::mutex mutex;
    std::condition_variable roundStarted;
    std::condition_variable roundFinished;
    const std::function<void(unsigned)> *currentWork = nullptr;
    std::uint64_t generation = 0;
    unsigned activeThreads = 0;
    bool stopping = false;
    std::vector<std::thread> threads;
};

} // namespace gooseberry
