/*
 * Log replication and commit on three replicas.
 *
 * The log of each term's leader remains readable after the leader is gone, and acknowledgements
 * stay in flight forever, so an Append or its reply may be delayed, reordered, duplicated or lost.
 * An entry is identified by the term in which it was appended. election.pml verifies that a term
 * has at most one leader; this model asserts it as well.
 *
 * Property: a committed entry is in the log of every later leader, at the same index.
 */
#define N 3
#ifndef MAX_TERM
#define MAX_TERM 3
#endif
#ifndef MAX_LENGTH
#define MAX_LENGTH 2
#endif
#ifndef MAY_LOSE_DISK
#define MAY_LOSE_DISK true
#endif
#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2
/* Chooses in a single transition; select() needs one for each value that it skips. */
#define PICK_REPLICA(x) if :: x = 0 :: x = 1 :: x = 2 fi
#define BIT(r) (1 << (r))
#define COUNT(mask) (((mask) & 1) + (((mask) >> 1) & 1) + (((mask) >> 2) & 1))
#ifdef MINORITY_COMMITS
#define COMMIT_QUORUM 1
#else
#define COMMIT_QUORUM 2
#endif

byte term[N], vote[N], role[N], votes[N], length[N];
byte entries[N * (MAX_LENGTH + 1)];      /* by replica and index, from 1: term of the entry, or 0 */
byte leaderLength[MAX_TERM + 1];         /* by term: length of the leader's log */
byte leaderEntries[(MAX_TERM + 1) * (MAX_LENGTH + 1)]; /* by term and index: the leader's log */
byte matchIndex[(MAX_TERM + 1) * N];     /* by term and replica: last acknowledged index */
byte leaderOf[MAX_TERM + 1];             /* by term: leader + 1, or 0 */
byte committed[MAX_LENGTH + 1];          /* by index: term of the committed entry, or 0 */
byte committedInTerm[MAX_LENGTH + 1];    /* by index: lowest term that committed the entry */
bool learner[N];                         /* lost its disk: neither votes nor campaigns */
bool diskLost;

#define ENTRY(r, i) entries[(r) * (MAX_LENGTH + 1) + (i)]
#define LEADER_ENTRY(t, i) leaderEntries[(t) * (MAX_LENGTH + 1) + (i)]
#define MATCH_INDEX(t, r) matchIndex[(t) * N + (r)]
#define LAST_TERM(r) (length[r] == 0 -> 0 : ENTRY(r, length[r]))

#ifdef NO_LOG_CHECK
#define LOG_UP_TO_DATE(c, r) true
#else
#define LOG_UP_TO_DATE(c, r) (LAST_TERM(c) > LAST_TERM(r) \
    || (LAST_TERM(c) == LAST_TERM(r) && length[c] >= length[r]))
#endif
#define MAY_RECEIVE(r, t) (leaderOf[t] != 0 && leaderOf[t] != r + 1 && t >= term[r])

inline adoptTerm(r, t)
{
    if
    :: t > term[r] ->
        term[r] = t;
        vote[r] = 0;
        role[r] = FOLLOWER;
        votes[r] = 0
    :: else
    fi
}

inline grantVote(v, c)
{
    adoptTerm(v, term[c]);
    if
    :: vote[v] == 0 || vote[v] == c + 1 ->
        vote[v] = c + 1;
        votes[c] = votes[c] | BIT(v)
    :: else
    fi
}

inline becomeLeader(r)
{
    role[r] = LEADER;
    votes[r] = 0;
    assert(leaderOf[term[r]] == 0);
    leaderOf[term[r]] = r + 1;
    leaderLength[term[r]] = length[r];
    i = 1;
    do
    :: i <= MAX_LENGTH ->
        /* The new leader has every entry that a leader of an earlier term committed. */
        assert(committed[i] == 0 || committedInTerm[i] >= term[r]
            || (i <= length[r] && ENTRY(r, i) == committed[i]));
        if
        :: i <= length[r] -> LEADER_ENTRY(term[r], i) = ENTRY(r, i)
        :: else
        fi;
        i++
    :: else -> break
    od;
    MATCH_INDEX(term[r], r) = length[r]
}

inline appendEntry(r)
{
    length[r]++;
    ENTRY(r, length[r]) = term[r];
    leaderLength[term[r]] = length[r];
    LEADER_ENTRY(term[r], length[r]) = term[r];
    MATCH_INDEX(term[r], r) = length[r]
}

/* Receives the entries after p up to n that the leader of term t sent. */
inline receiveAppend(r, t, p, n)
{
    adoptTerm(r, t);
    role[r] = FOLLOWER;
    votes[r] = 0;
    if
#ifdef NO_PREVIOUS_CHECK
    :: p <= length[r] ->
#else
    :: p <= length[r] && (p == 0 || ENTRY(r, p) == LEADER_ENTRY(t, p)) ->
#endif
        i = p + 1;
        do
        :: i <= n ->
            if
            :: i <= length[r] && ENTRY(r, i) == LEADER_ENTRY(t, i)
            :: else ->
                /* Deletes the conflicting entry and all entries that follow it. */
                do
                :: length[r] >= i ->
                    ENTRY(r, length[r]) = 0;
                    length[r]--
                :: else -> break
                od;
                length[r] = i;
                ENTRY(r, i) = LEADER_ENTRY(t, i)
            fi;
            i++
        :: else -> break
        od;
        if
        :: MATCH_INDEX(t, r) < n -> MATCH_INDEX(t, r) = n
        :: else
        fi
    :: else
    fi
}

#define IS_REPLICATED_TO(t, r, n) (!learner[r] && MATCH_INDEX(t, r) >= n)

inline commit(r, n)
{
    i = IS_REPLICATED_TO(term[r], 0, n) + IS_REPLICATED_TO(term[r], 1, n) +
        IS_REPLICATED_TO(term[r], 2, n);
    if
#ifdef COMMIT_OLD_TERM
    :: i >= COMMIT_QUORUM ->
#else
    :: i >= COMMIT_QUORUM && ENTRY(r, n) == term[r] ->
#endif
        i = 1;
        do
        :: i <= n ->
            assert(committed[i] == 0 || committed[i] == ENTRY(r, i));
            if
            :: committed[i] == 0 || committedInTerm[i] > term[r] -> committedInTerm[i] = term[r]
            :: else
            fi;
            committed[i] = ENTRY(r, i);
            i++
        :: else -> break
        od
    :: else
    fi
}

inline eraseLog(r)
{
    do
    :: length[r] > 0 ->
        ENTRY(r, length[r]) = 0;
        length[r]--
    :: else -> break
    od
}

active proctype system()
{
    /* Replica, other replica, term, previous index and last index of an Append, loop index. */
    byte r, c, t, p, n, i;
    /* Replicas are symmetric, so replica 0 can lead term 1 without loss of generality. */
    term[0] = 1;
    term[1] = 1;
    vote[0] = 1;
    vote[1] = 1;
    role[0] = LEADER;
    leaderOf[1] = 1;
end:
    do
    :: atomic {
        PICK_REPLICA(r);
        if
        :: !learner[r] && role[r] != LEADER && term[r] < MAX_TERM ->
            term[r]++;
            vote[r] = r + 1;
            role[r] = CANDIDATE;
            votes[r] = BIT(r)
        :: !learner[r] ->
            PICK_REPLICA(c);
            if
            :: c != r && role[c] == CANDIDATE && term[c] >= term[r] && LOG_UP_TO_DATE(c, r) ->
                grantVote(r, c)
            :: else
            fi
        :: role[r] == CANDIDATE && COUNT(votes[r]) >= 2 -> becomeLeader(r)
        :: role[r] == LEADER && length[r] < MAX_LENGTH -> appendEntry(r)
        :: role[r] == LEADER && length[r] > 0 ->
            if
            :: n = 1
            :: length[r] == 2 -> n = 2
            fi;
            commit(r, n)
        :: if
            :: MAY_RECEIVE(r, 1) -> t = 1
            :: MAY_RECEIVE(r, 2) -> t = 2
#if MAX_TERM > 2
            :: MAY_RECEIVE(r, 3) -> t = 3
#endif
#if MAX_TERM > 3
            :: MAY_RECEIVE(r, 4) -> t = 4
#endif
            fi;
            if :: n = 0 :: leaderLength[t] >= 1 -> n = 1 :: leaderLength[t] == 2 -> n = 2 fi;
            if :: p = 0 :: n >= 1 -> p = 1 :: n == 2 -> p = 2 fi;
            receiveAppend(r, t, p, n)
        :: role[r] != FOLLOWER ->
            role[r] = FOLLOWER;
            votes[r] = 0
#ifdef ACK_BEFORE_SYNC
        :: eraseLog(r);
            role[r] = FOLLOWER;
            votes[r] = 0
#endif
        :: MAY_LOSE_DISK && !diskLost ->
            diskLost = true;
            eraseLog(r);
            term[r] = 0;
            vote[r] = 0;
            role[r] = FOLLOWER;
            votes[r] = 0;
#ifndef LOST_DISK_VOTES
            learner[r] = true
#endif
        fi;
        r = 0;
        c = 0;
        t = 0;
        p = 0;
        n = 0;
        i = 0
    }
    od
}
