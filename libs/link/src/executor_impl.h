#pragma once

#include <atomic>
#include <cstdint>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <link/executor.h>

namespace gooseberry {

struct Executor::Impl
{
    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard
        = boost::asio::make_work_guard(this->context);
    std::vector<std::thread> threads;
    ExceptionHandler onException;
    std::atomic<std::uint64_t> failedTasks{0};

    /** Runs tasks until the context is stopped. */
    void run();
};

} // namespace gooseberry
