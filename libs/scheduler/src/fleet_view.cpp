#include "fleet_view.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace gooseberry {

namespace {

Resources elementwiseMax(const Resources &left, const Resources &right)
{
    return Resources{.cpu = std::max(left.cpu, right.cpu),
                     .memory = std::max(left.memory, right.memory),
                     .accelerators = std::max(left.accelerators, right.accelerators),
                     .slots = std::max(left.slots, right.slots)};
}

std::int64_t tasksThatFit(std::int64_t free, std::int64_t amount)
{
    return amount <= 0 ? std::numeric_limits<std::int64_t>::max() : free / amount;
}

std::int64_t tasksThatFit(const Resources &free, const Resources &amount)
{
    return std::min({tasksThatFit(free.cpu.value, amount.cpu.value),
                     tasksThatFit(free.memory.value, amount.memory.value),
                     tasksThatFit(free.accelerators.value, amount.accelerators.value),
                     tasksThatFit(free.slots.value, amount.slots.value)});
}

template<typename Name, typename Index>
Index indexOf(std::map<Name, Index> &indexes, const Name &name)
{
    const auto next = Index(static_cast<std::uint32_t>(indexes.size()));
    return indexes.emplace(name, next).first->second;
}

} // namespace

FleetView::FleetView(const std::vector<Instance> &instances,
                     const std::set<FailureDomainId> &domainsOut,
                     const std::set<InstanceId> &excluded,
                     const std::vector<ReservedInstance> &reserved)
{
    std::map<FailureDomainId, DomainIndex> domainIndexes;
    std::map<std::pair<FailureDomainId, RackId>, RackIndex> rackIndexes;
    std::map<InstanceId, const ReservedInstance *> reservationOf;
    for (const ReservedInstance &reservation : reserved) {
        reservationOf[reservation.instance] = &reservation;
    }
    indexOf(this->services, std::string());
    std::vector<std::pair<Candidate, std::size_t>> plain;
    std::vector<std::pair<Candidate, std::size_t>> accelerated;
    for (const Instance &instance : instances) {
        Candidate candidate;
        candidate.capacity = instance.spec.capacity;
        candidate.free = freeCapacity(instance);
        candidate.domain = indexOf(domainIndexes, instance.spec.domain);
        candidate.rack = indexOf(rackIndexes, {instance.spec.domain, instance.spec.rack});
        candidate.service = indexOf(this->services, instance.spec.upstream.service);
        this->locations[instance.spec.id] = {candidate.domain, candidate.rack};
        if (!acceptsNewTasks(instance, domainsOut) || excluded.contains(instance.spec.id)) {
            continue;
        }
        if (const auto reservation = reservationOf.find(instance.spec.id);
            reservation != reservationOf.end()) {
            candidate.reservedUntil = reservation->second->until;
            candidate.reservedFor = reservation->second->job;
        }
        this->domains.insert(candidate.domain);
        auto &group = candidate.capacity.accelerators.value > 0 ? accelerated : plain;
        group.emplace_back(candidate, this->instanceIds.size());
        this->instanceIds.push_back(instance.spec.id);
    }
    this->addSlices(plain);
    this->firstAcceleratorSlice = this->slices.size();
    this->addSlices(accelerated);
}

void FleetView::addSlices(const std::vector<std::pair<Candidate, std::size_t>> &group)
{
    if (group.empty()) {
        return;
    }
    const std::size_t count = (group.size() + sliceSize - 1) / sliceSize;
    const std::size_t first = this->slices.size();
    for (std::size_t added = 0; added < count; ++added) {
        this->slices.push_back(std::make_unique<Slice>());
    }
    // Round-robin assignment gives every slice instances of each failure domain and rack.
    std::size_t next = 0;
    for (const auto &[candidate, idIndex] : group) {
        Slice &slice = *this->slices[first + next % count];
        this->positions[this->instanceIds[idIndex]]
            = {first + next % count, slice.candidates.size()};
        slice.candidates.push_back(candidate);
        slice.idIndexes.push_back(idIndex);
        slice.maxFree = elementwiseMax(slice.maxFree, candidate.free);
        ++next;
    }
}

void FleetView::refresh(const std::vector<Instance> &changed)
{
    for (const Instance &instance : changed) {
        const auto found = this->positions.find(instance.spec.id);
        if (found == this->positions.end()) {
            continue;
        }
        Slice &slice = *this->slices[found->second.first];
        const std::lock_guard lock(slice.mutex);
        Candidate &candidate = slice.candidates[found->second.second];
        candidate.free = freeCapacity(instance);
        slice.maxFreeIsExact = false;
        slice.maxFree = elementwiseMax(slice.maxFree, candidate.free);
    }
}

ServiceIndex FleetView::serviceIndex(const std::string &service) const
{
    const auto found = this->services.find(service);
    // No instance has the maximum index, so a request with it has no eligible instance.
    return found == this->services.end() ? ServiceIndex(std::numeric_limits<std::uint32_t>::max())
                                         : found->second;
}

std::optional<DomainIndex> FleetView::domainIndex(const InstanceId &instance) const
{
    const auto found = this->locations.find(instance);
    return found == this->locations.end() ? std::nullopt : std::optional(found->second.first);
}

void FleetView::countSpread(SpreadCounts &counts, const InstanceId &instance) const
{
    const auto found = this->locations.find(instance);
    if (found != this->locations.end()) {
        ++counts.perDomain[found->second.first];
        ++counts.perRack[found->second.second];
    }
}

std::optional<ViewPlacement> FleetView::place(const PlacementRequest &request, double startFraction)
{
    PlacementRequest next = request;
    if (request.spread != nullptr) {
        next.maxTasksInDomain = this->minTasksInDomain(*request.spread);
    }
    const std::size_t plain
        = request.amount.accelerators.value > 0 ? this->firstAcceleratorSlice : 0;
    for (;;) {
        if (auto place
            = this->placeWithin(next, plain, this->firstAcceleratorSlice, startFraction)) {
            return place;
        }
        if (auto place = this->placeWithin(next, this->firstAcceleratorSlice, this->slices.size(),
                                           startFraction)) {
            return place;
        }
        if (!next.maxTasksInDomain) {
            return std::nullopt;
        }
        next.maxTasksInDomain.reset();
    }
}

std::optional<ViewPlacement> FleetView::placeWithin(const PlacementRequest &request,
                                                    std::size_t begin, std::size_t end,
                                                    double startFraction)
{
    const std::size_t count = end - begin;
    const auto start = static_cast<std::size_t>(startFraction * static_cast<double>(count));
    for (std::size_t step = 0; step < count; ++step) {
        if (auto place = this->placeInSlice(request, begin + (start + step) % count)) {
            return place;
        }
    }
    return std::nullopt;
}

std::optional<ViewPlacement> FleetView::placeInSlice(const PlacementRequest &request,
                                                     std::size_t sliceIndex)
{
    Slice &slice = *this->slices[sliceIndex];
    const std::lock_guard lock(slice.mutex);
    if (firstShortage(request.amount, slice.maxFree)) {
        return std::nullopt;
    }
    const CandidateChoice choice = chooseCandidate(slice.candidates, request);
    if (!choice.best && slice.maxFreeIsExact) {
        return std::nullopt;
    }
    if (!choice.best) {
        slice.maxFreeIsExact = true;
        slice.maxFree = Resources{};
        for (const Candidate &candidate : slice.candidates) {
            slice.maxFree = elementwiseMax(slice.maxFree, candidate.free);
        }
        return std::nullopt;
    }
    slice.maxFreeIsExact = false;
    Candidate &chosen = slice.candidates[*choice.best];
    chosen.free = subtract(chosen.free, request.amount).value_or(Resources{});
    ViewPlacement place{.slice = sliceIndex,
                        .index = *choice.best,
                        .domain = chosen.domain,
                        .rack = chosen.rack,
                        .instance = this->instanceIds[slice.idIndexes[*choice.best]],
                        .runnerUp = std::nullopt};
    if (choice.runnerUp) {
        place.runnerUp = this->instanceIds[slice.idIndexes[*choice.runnerUp]];
    }
    return place;
}

void FleetView::release(const ViewPlacement &place, const Resources &amount)
{
    Slice &slice = *this->slices[place.slice];
    const std::lock_guard lock(slice.mutex);
    Candidate &candidate = slice.candidates[place.index];
    candidate.free = add(candidate.free, amount).value_or(candidate.free);
    slice.maxFree = elementwiseMax(slice.maxFree, candidate.free);
}

void FleetView::markFull(const ViewPlacement &place)
{
    Slice &slice = *this->slices[place.slice];
    const std::lock_guard lock(slice.mutex);
    slice.candidates[place.index].free = Resources{};
    slice.maxFreeIsExact = false;
}

std::uint32_t FleetView::countPlaceable(const PlacementRequest &request, std::uint32_t enough)
{
    std::int64_t count = 0;
    for (const auto &slice : this->slices) {
        const std::lock_guard lock(slice->mutex);
        for (const Candidate &candidate : slice->candidates) {
            if (fits(candidate, request)) {
                count
                    += std::min<std::int64_t>(tasksThatFit(candidate.free, request.amount), enough);
            }
            if (count >= enough) {
                return enough;
            }
        }
    }
    return static_cast<std::uint32_t>(count);
}

Reason FleetView::whyUnplaceable(const PlacementRequest &request)
{
    bool offersService = false;
    bool reservedElsewhere = false;
    bool largeEnough = false;
    for (const auto &slice : this->slices) {
        const std::lock_guard lock(slice->mutex);
        for (const Candidate &candidate : slice->candidates) {
            const bool offers
                = request.service == ServiceIndex(0) || request.service == candidate.service;
            offersService = offersService || offers;
            largeEnough
                = largeEnough || (offers && !firstShortage(request.amount, candidate.capacity));
            reservedElsewhere = reservedElsewhere
                || (offers && candidate.reservedUntil && candidate.reservedFor != request.job
                    && !firstShortage(request.amount, candidate.free));
        }
    }
    if (!offersService) {
        return Reason::NoInstanceForService;
    }
    if (!largeEnough) {
        return Reason::ShapeImpossible;
    }
    return reservedElsewhere ? Reason::RoomReserved : Reason::NoCapacity;
}

std::uint32_t FleetView::minTasksInDomain(const SpreadCounts &counts) const
{
    std::uint32_t least = std::numeric_limits<std::uint32_t>::max();
    for (const DomainIndex domain : this->domains) {
        const auto found = counts.perDomain.find(domain);
        least = std::min(least, found == counts.perDomain.end() ? 0U : found->second);
    }
    return least;
}

} // namespace gooseberry
