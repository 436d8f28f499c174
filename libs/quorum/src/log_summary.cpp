#include "log_summary.h"

#include <algorithm>

namespace gooseberry {

namespace {

void truncateFrom(LogSummary &log, LogIndex index)
{
    while (!log.terms.empty() && log.terms.back().first >= index) {
        log.terms.pop_back();
    }
    while (!log.memberships.empty() && log.memberships.back().index >= index) {
        log.memberships.pop_back();
    }
    log.lastIndex = LogIndex(index.value - 1);
}

} // namespace

std::optional<Term> termAt(const LogSummary &log, LogIndex index)
{
    if (index == log.baseIndex) {
        return log.baseTerm;
    }
    if (index < log.baseIndex || index > log.lastIndex) {
        return std::nullopt;
    }
    const auto after = std::upper_bound(
        log.terms.begin(), log.terms.end(), index,
        [](LogIndex wanted, const LogSummary::TermRun &run) { return wanted < run.first; });
    return std::prev(after)->term;
}

Term lastTerm(const LogSummary &log)
{
    return log.terms.empty() ? log.baseTerm : log.terms.back().term;
}

const Membership &currentMembership(const LogSummary &log)
{
    static const Membership none;
    return log.memberships.empty() ? none : log.memberships.back().membership;
}

LogIndex membershipIndex(const LogSummary &log)
{
    return log.memberships.empty() ? LogIndex(0) : log.memberships.back().index;
}

Membership membershipAt(const LogSummary &log, LogIndex index)
{
    Membership found;
    for (const LogSummary::MembershipAt &change : log.memberships) {
        if (change.index <= index) {
            found = change.membership;
        }
    }
    return found;
}

LogIndex firstIndexOfTerm(const LogSummary &log, LogIndex index)
{
    LogIndex first(log.baseIndex.value + 1);
    for (const LogSummary::TermRun &run : log.terms) {
        first = run.first <= index ? run.first : first;
    }
    return first;
}

void addEntry(LogSummary &log, const LogEntry &entry)
{
    if (entry.index <= log.lastIndex) {
        truncateFrom(log, entry.index);
    }
    if (log.terms.empty() || log.terms.back().term != entry.term) {
        log.terms.push_back({.first = entry.index, .term = entry.term});
    }
    if (entry.kind == EntryKind::Membership) {
        log.memberships.push_back({.index = entry.index, .membership = entry.membership});
    }
    log.lastIndex = entry.index;
}

void compactLog(LogSummary &log, LogIndex index)
{
    const auto term = termAt(log, index);
    if (!term || index == log.baseIndex) {
        return;
    }
    while (!log.terms.empty()
           && (log.terms.size() > 1 ? log.terms[1].first.value : log.lastIndex.value + 1)
               <= index.value + 1) {
        log.terms.erase(log.terms.begin());
    }
    if (!log.terms.empty() && log.terms.front().first <= index) {
        log.terms.front().first = LogIndex(index.value + 1);
    }
    while (log.memberships.size() > 1 && log.memberships[1].index <= index) {
        log.memberships.erase(log.memberships.begin());
    }
    log.baseIndex = index;
    log.baseTerm = *term;
}

void resetLog(LogSummary &log, LogIndex index, Term term, const Membership &membership)
{
    log = LogSummary{.baseIndex = index,
                     .baseTerm = term,
                     .lastIndex = index,
                     .terms = {},
                     .memberships = {{.index = index, .membership = membership}}};
}

bool isUpToDate(LogIndex candidateIndex, Term candidateTerm, const LogSummary &log)
{
    const Term own = lastTerm(log);
    return candidateTerm > own || (candidateTerm == own && candidateIndex >= log.lastIndex);
}

} // namespace gooseberry
