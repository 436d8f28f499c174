#pragma once

#include <optional>
#include <vector>

#include <base/base.h>
#include <quorum/messages.h>

namespace gooseberry {

/**
 * What the decisions need to know of the log: its ends, the term of each entry and the memberships.
 * Payloads stay in the journal, so the memory this takes does not grow with the log.
 */
struct LogSummary
{
    struct TermRun
    {
        LogIndex first;
        Term term;
    };
    struct MembershipAt
    {
        LogIndex index;
        Membership membership;
    };

    /** The last entry that is no longer in the log; index 0 for a log that is complete. */
    LogIndex baseIndex;
    Term baseTerm;
    LogIndex lastIndex;
    std::vector<TermRun> terms;
    /** Memberships from the one in force at the base on; empty before the first entry. */
    std::vector<MembershipAt> memberships;
};

/** Returns the term of an entry or of the base, nothing outside the log. */
std::optional<Term> termAt(const LogSummary &log, LogIndex index);
Term lastTerm(const LogSummary &log);
/** Returns the membership in force, which is the latest stored one. */
const Membership &currentMembership(const LogSummary &log);
/** Returns where the membership in force was stored, index 0 without one. */
LogIndex membershipIndex(const LogSummary &log);
/** Returns the membership that was in force at the index. */
Membership membershipAt(const LogSummary &log, LogIndex index);
/** Returns the first index of the run of equal terms that holds the index. */
LogIndex firstIndexOfTerm(const LogSummary &log, LogIndex index);

/** Adds an entry, discarding everything from its index on. */
void addEntry(LogSummary &log, const LogEntry &entry);
/** Forgets the entries up to and including the index, which must lie in the log. */
void compactLog(LogSummary &log, LogIndex index);
/** Replaces the log by a snapshot. */
void resetLog(LogSummary &log, LogIndex index, Term term, const Membership &membership);

/** Returns whether a log with this end holds everything that a log with the other end may hold. */
bool isUpToDate(LogIndex candidateIndex, Term candidateTerm, const LogSummary &log);

} // namespace gooseberry
