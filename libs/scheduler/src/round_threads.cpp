#include "round_threads.h"

namespace gooseberry {

RoundThreads::RoundThreads(unsigned count)
{
    for (unsigned thread = 1; thread < count; ++thread) {
        this->threads.emplace_back([this, thread] { this->runWorker(thread); });
    }
}

RoundThreads::~RoundThreads()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->roundStarted.notify_all();
    for (std::thread &thread : this->threads) {
        thread.join();
    }
}

void RoundThreads::run(const std::function<void(unsigned)> &work)
{
    {
        const std::lock_guard lock(this->mutex);
        this->currentWork = &work;
        this->activeThreads = static_cast<unsigned>(this->threads.size());
        ++this->generation;
    }
    this->roundStarted.notify_all();
    work(0);
    std::unique_lock lock(this->mutex);
    this->roundFinished.wait(lock, [this] { return this->activeThreads == 0; });
    this->currentWork = nullptr;
}

unsigned RoundThreads::count() const
{
    return static_cast<unsigned>(this->threads.size()) + 1;
}

void RoundThreads::runWorker(unsigned thread)
{
    std::uint64_t seen = 0;
    for (;;) {
        const std::function<void(unsigned)> *work = nullptr;
        {
            std::unique_lock lock(this->mutex);
            this->roundStarted.wait(
                lock, [this, seen] { return this->stopping || this->generation != seen; });
            if (this->stopping) {
                return;
            }
            seen = this->generation;
            work = this->currentWork;
        }
        (*work)(thread);
        const std::lock_guard lock(this->mutex);
        if (--this->activeThreads == 0) {
            this->roundFinished.notify_all();
        }
    }
}

} // namespace gooseberry
