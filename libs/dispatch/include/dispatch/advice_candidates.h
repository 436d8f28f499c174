#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace gooseberry {

/**
 * A worker that a request to the adviser may list, and how many tasks of the step fit on it now.
 */
struct AdviceCandidate
{
    std::size_t worker = 0; ///< The caller's index of the worker.
    std::uint64_t taskCapacity = 0;
};

/** The most workers that one request to the adviser may list. */
constexpr std::size_t maxAdviceCandidates = 100;

/**
 * Returns the workers to list in one request to the adviser, those with the highest task capacity
 * first. The list holds as many workers as probably provide the wanted task capacity, and some
 * spare ones; it stays short because the adviser's decision time grows with each worker. Share is
 * the expected fraction of the listed workers that the adviser allows.
 */
std::vector<std::size_t> chooseAdviceCandidates(std::vector<AdviceCandidate> workers,
                                                std::uint64_t wanted, double share);

} // namespace gooseberry
