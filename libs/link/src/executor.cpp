#include "executor_impl.h"

#include <exception>
#include <iostream>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace gooseberry {

void Executor::Impl::run()
{
    while (true) {
        std::string what = "not a std::exception";
        try {
            this->context.run();
            return;
        } catch (const std::exception &error) {
            what = error.what();
        } catch (...) { // NOLINT(bugprone-empty-catch): reported below
        }
        ++this->failedTasks;
        this->onException(what);
    }
}

Executor::Executor(unsigned threadCount, ExceptionHandler onException)
    : owned(std::make_unique<Impl>())
{
    this->owned->onException = onException != nullptr
        ? std::move(onException)
        : [](const std::string &what) { std::cerr << "a task has failed: " << what << '\n'; };
    for (unsigned i = 0; i < threadCount; ++i) {
        this->owned->threads.emplace_back([this]() { this->owned->run(); });
    }
}

std::uint64_t Executor::failedTasks() const
{
    return this->owned->failedTasks;
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
