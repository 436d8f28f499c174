#include "executor_impl.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace gooseberry {

Executor::Executor(unsigned threadCount)
    : owned(std::make_unique<Impl>())
{
    for (unsigned i = 0; i < threadCount; ++i) {
        this->owned->threads.emplace_back([this]() { this->owned->context.run(); });
    }
}

Executor::~Executor()
{
    this->stop();
}

void Executor::post(std::function<void()> task)
{
    boost::asio::post(this->owned->context, std::move(task));
}

void Executor::after(Duration delay, std::function<void()> task)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(this->owned->context, delay);
    timer->async_wait([timer, task = std::move(task)](boost::system::error_code error) {
        if (!error) {
            task();
        }
    });
}

void Executor::stop()
{
    this->owned->guard.reset();
    this->owned->context.stop();
    for (std::thread &thread : this->owned->threads) {
        thread.join();
    }
    this->owned->threads.clear();
}

Executor::Impl &Executor::impl()
{
    return *this->owned;
}

} // namespace gooseberry
