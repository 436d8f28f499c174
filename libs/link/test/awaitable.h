#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace gooseberry {

/** A value that one thread updates and another waits on. */
template<typename T>
class Awaitable
{
public:
    template<typename Change>
    void update(Change change)
    {
        const std::lock_guard lock(this->mutex);
        change(this->value);
        this->changed.notify_all();
    }

    /** Returns whether the predicate became true within the limit. */
    template<typename Predicate>
    bool waitFor(std::chrono::milliseconds limit, Predicate predicate)
    {
        std::unique_lock lock(this->mutex);
        return this->changed.wait_for(lock, limit, [&]() { return predicate(this->value); });
    }

    T get() const
    {
        const std::lock_guard lock(this->mutex);
        return this->value;
    }

private:
    mutable std::mutex mutex;
    std::condition_variable changed;
    T value{};
};

} // namespace gooseberry
