#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace gooseberry {

/** A worker that the adviser can be asked about, and how many tasks of the step fit on it now. */
struct AdviceCandidate
{
    std::size_t worker = 0; ///< The caller's number for the worker.
    std::uint64_t taskCapacity = 0;
};

/**
 * Returns the workers to name in one question, the roomiest first: as many as probably give the
 * wanted candidates and a few more, since the adviser's time grows with each worker chosen. Share
 * is how many of the workers asked about are probably allowed.
 */
std::vector<std::size_t> chooseAdviceCandidates(std::vector<AdviceCandidate> workers,
                                                std::uint64_t wanted, double share);

} // namespace gooseberry
