#pragma once

#include <optional>
#include <vector>

#include <base/base.h>
#include <quorum/messages.h>

namespace gooseberry {

/**
 * The metadata of the log that the protocol needs: first and last index, the term of each entry and
 * the memberships. Payloads stay in the journal, so memory use does not grow with the log.
 */
struct LogSummary
{
    /** Consecutive entries of one term, up to the next TermRun. */
    struct TermRun
    {
        LogIndex first;
        Term term;
    };
    /** A membership and the index of the entry that stored it. */
    struct MembershipAt
    {
        LogIndex index;
        Membership membership;
    };

    /** The last entry that was compacted; index 0 if none was. */
    LogIndex baseIndex;
    Term baseTerm;
    LogIndex lastIndex;
    std::vector<TermRun> terms;
    /** All memberships since the one in effect at baseIndex; empty before the first entry. */
    std::vector<MembershipAt> memberships;
};

/** Returns the term of an entry or of baseIndex, or nullopt outside the log. */
std::optional<Term> termAt(const LogSummary &log, LogIndex index);
Term lastTerm(const LogSummary &log);
/** Returns the membership in effect, which is the latest stored one. */
const Membership &currentMembership(const LogSummary &log);
/** Returns the index of the entry that stored the membership in effect, or 0. */
LogIndex membershipIndex(const LogSummary &log);
/** Returns the membership that was in effect at the index. */
Membership membershipAt(const LogSummary &log, LogIndex index);
/** Returns the first index with the same term as the entry at the index. */
LogIndex firstIndexOfTerm(const LogSummary &log, LogIndex index);

/** Appends an entry, discarding all existing entries from its index on. */
void addEntry(LogSummary &log, const LogEntry &entry);
/** Discards the entries up to and including the index; does nothing outside the log. */
void compactLog(LogSummary &log, LogIndex index);
/** Replaces the log by a snapshot whose last entry is given. */
void resetLog(LogSummary &log, LogIndex index, Term term, const Membership &membership);

/** Returns whether the candidate's log is at least as up to date as this one, by its last entry. */
bool isUpToDate(LogIndex candidateIndex, Term candidateTerm, const LogSummary &log);

} // namespace gooseberry
