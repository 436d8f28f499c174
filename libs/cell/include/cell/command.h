#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <base/base.h>
#include <contract/contract.h>
#include <fleet/fleet.h>

namespace gooseberry {

/** Puts a configuration in force if its version directly follows the one in force. */
struct ApplyConfig
{
    ConfigVersion version;
    CellConfig config;
    /** Digest of the change as the client sent it; identifies a resend of the same change. */
    std::uint64_t changeDigest = 0;

    bool operator==(const ApplyConfig &other) const = default;
};

struct GrantKey
{
    Key key;

    bool operator==(const GrantKey &other) const = default;
};

struct WithdrawKey
{
    KeyId id;

    bool operator==(const WithdrawKey &other) const = default;
};

/** Takes a failure domain out of service or brings it back. */
struct SetDomain
{
    FailureDomainId domain;
    bool inService = true;

    bool operator==(const SetDomain &other) const = default;
};

/** Accepts a job. A repeated team and request id yields the id of the existing job. */
struct Submit
{
    RequestId request;
    TeamId team;
    JobSpec spec;

    bool operator==(const Submit &other) const = default;
};

/** The assignment of one attempt to a worker instance. */
struct Placement
{
    AttemptId attempt;
    InstanceId instance;

    bool operator==(const Placement &other) const = default;
};

/** Starts attempts of one job. Workers receive their starts only after this is committed. */
struct Start
{
    JobId job;
    bool allOrNone = false;
    std::vector<Placement> placements;

    bool operator==(const Start &other) const = default;
};

/** How an attempt ended, as its worker reports it. */
enum class AttemptResult {
    Succeeded,
    Failed,
    Stopped, ///< The worker stopped it on request or because its lease expired.
};

std::string toString(AttemptResult result);

/** Ends an attempt with its worker's report. */
struct Finish
{
    Placement placement;
    AttemptResult result = AttemptResult::Succeeded;
    std::string answer;

    bool operator==(const Finish &other) const = default;
};

/** Ends an attempt without a report: its start was not sent or was refused, or it is lost. */
struct Release
{
    Placement placement;
    /** False only if it is certain that the attempt never ran. */
    bool mayHaveRun = true;

    bool operator==(const Release &other) const = default;
};

struct Cancel
{
    JobId job;

    bool operator==(const Cancel &other) const = default;
};

/** Adds a worker instance or replaces its declaration. */
struct Announce
{
    InstanceSpec instance;

    bool operator==(const Announce &other) const = default;
};

struct Depart
{
    InstanceId instance;

    bool operator==(const Depart &other) const = default;
};

/** Removes jobs that ended at or before the given time, with their answers and request ids. */
struct Expire
{
    CellTime endedBefore;

    bool operator==(const Expire &other) const = default;
};

using Command = std::variant<ApplyConfig, GrantKey, WithdrawKey, SetDomain, Submit, Start, Finish,
                             Release, Cancel, Announce, Depart, Expire>;

/** Identifies a proposed command to its proposer; unique across instances and restarts. */
struct ProposalId
{
    std::uint64_t origin = 0;
    std::uint64_t number = 0;

    bool operator==(const ProposalId &other) const = default;
};

/** A command with the time that the leader assigned to it. */
struct StampedCommand
{
    ProposalId proposal{};
    CellTime at;
    Command command;

    bool operator==(const StampedCommand &other) const = default;
};

/** The result of one placement of a Start. */
struct PlacementOutcome
{
    Placement placement;
    Status status;
};

/** The value that a command returns in addition to changing the state. */
using AppliedValue = std::variant<Done, JobId, ConfigVersion, std::vector<PlacementOutcome>>;
using ApplyOutcome = Result<AppliedValue>;

} // namespace gooseberry
