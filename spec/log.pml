/*
 * Replication and commit of a log on three replicas.
 *
 * The log that a term's leader had stays readable after the leader is gone, and every
 * acknowledgement stays in flight, so an Append or its reply may arrive late, in any order, twice or
 * never. An entry is identified by the term in which it was written. The election of one leader per
 * term is proved by election.pml and asserted here again.
 *
 * Property: once committed, an entry is in the log of every later leader, at the same index.
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
/* One choice is one transition, where select() would take one for every value it passes. */
#define PICK_REPLICA(x) if :: x = 0 :: x = 1 :: x = 2 fi
#define BIT(r) (1 << (r))
#define COUNT(mask) (((mask) & 1) + (((mask) >> 1) & 1) + (((mask) >> 2) & 1))
#ifdef MINORITY_COMMITS
#define COMMIT_ENOUGH 1
#else
#define COMMIT_ENOUGH 2
#endif

byte term[N], vote[N], role[N], votes[N], length[N];
byte entries[N * (MAX_LENGTH + 1)];            /* term of the entry at an index, from 1 */
byte termLength[MAX_TERM + 1];                 /* length of the log of the term's leader */
byte termEntries[(MAX_TERM + 1) * (MAX_LENGTH + 1)];
byte acknowledged[(MAX_TERM + 1) * N];         /* how far a replica is known to match */
byte leaderOf[MAX_TERM + 1];
byte committed[MAX_LENGTH + 1];                /* term of the committed entry, or 0 */
byte committedIn[MAX_LENGTH + 1];              /* the lowest term that committed it */
bool learner[N];
bool diskLost;

#define ENTRY(r, i) entries[(r) * (MAX_LENGTH + 1) + (i)]
#define SENT(t, i) termEntries[(t) * (MAX_LENGTH + 1) + (i)]
#define ACK(t, r) acknowledged[(t) * N + (r)]
#define LAST_TERM(r) (length[r] == 0 -> 0 : ENTRY(r, length[r]))

#ifdef NO_LOG_CHECK
#define HAS_ENOUGH_LOG(c, r) true
#else
#define HAS_ENOUGH_LOG(c, r) (LAST_TERM(c) > LAST_TERM(r) \
    || (LAST_TERM(c) == LAST_TERM(r) && length[c] >= length[r]))
#endif
#define MAY_HEAR(r, t) (leaderOf[t] != 0 && leaderOf[t] != r + 1 && t >= term[r])

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

inline grant(v, c)
{
    adoptTerm(v, term[c]);
    if
    :: vote[v] == 0 || vote[v] == c + 1 ->
        vote[v] = c + 1;
        votes[c] = votes[c] | BIT(v)
    :: else
    fi
}

inline lead(r)
{
    role[r] = LEADER;
    votes[r] = 0;
    assert(leaderOf[term[r]] == 0);
    leaderOf[term[r]] = r + 1;
    termLength[term[r]] = length[r];
    i = 1;
    do
    :: i <= MAX_LENGTH ->
        /* The new leader has everything that leaders of earlier terms committed. */
        assert(committed[i] == 0 || committedIn[i] >= term[r]
            || (i <= length[r] && ENTRY(r, i) == committed[i]));
        if
        :: i <= length[r] -> SENT(term[r], i) = ENTRY(r, i)
        :: else
        fi;
        i++
    :: else -> break
    od;
    ACK(term[r], r) = length[r]
}

inline write(r)
{
    length[r]++;
    ENTRY(r, length[r]) = term[r];
    termLength[term[r]] = length[r];
    SENT(term[r], length[r]) = term[r];
    ACK(term[r], r) = length[r]
}

/* Receives the entries after p up to n that the leader of term t sent. */
inline receive(r, t, p, n)
{
    adoptTerm(r, t);
    role[r] = FOLLOWER;
    votes[r] = 0;
    if
#ifdef NO_PREVIOUS_CHECK
    :: p <= length[r] ->
#else
    :: p <= length[r] && (p == 0 || ENTRY(r, p) == SENT(t, p)) ->
#endif
        i = p + 1;
        do
        :: i <= n ->
            if
            :: i <= length[r] && ENTRY(r, i) == SENT(t, i)
            :: else ->
                /* A conflicting entry goes together with everything behind it. */
                do
                :: length[r] >= i ->
                    ENTRY(r, length[r]) = 0;
                    length[r]--
                :: else -> break
                od;
                length[r] = i;
                ENTRY(r, i) = SENT(t, i)
            fi;
            i++
        :: else -> break
        od;
        if
        :: ACK(t, r) < n -> ACK(t, r) = n
        :: else
        fi
    :: else
    fi
}

#define MATCHES(t, r, n) (!learner[r] && ACK(t, r) >= n)

inline commit(r, n)
{
    i = MATCHES(term[r], 0, n) + MATCHES(term[r], 1, n) + MATCHES(term[r], 2, n);
    if
#ifdef COMMIT_OLD_TERM
    :: i >= COMMIT_ENOUGH ->
#else
    :: i >= COMMIT_ENOUGH && ENTRY(r, n) == term[r] ->
#endif
        i = 1;
        do
        :: i <= n ->
            assert(committed[i] == 0 || committed[i] == ENTRY(r, i));
            if
            :: committed[i] == 0 || committedIn[i] > term[r] -> committedIn[i] = term[r]
            :: else
            fi;
            committed[i] = ENTRY(r, i);
            i++
        :: else -> break
        od
    :: else
    fi
}

inline forget(r)
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
    byte r, c, t, p, n, i;
    /* All replicas are alike, so the first leader can be fixed. */
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
            :: c != r && role[c] == CANDIDATE && term[c] >= term[r] && HAS_ENOUGH_LOG(c, r) ->
                grant(r, c)
            :: else
            fi
        :: role[r] == CANDIDATE && COUNT(votes[r]) >= 2 -> lead(r)
        :: role[r] == LEADER && length[r] < MAX_LENGTH -> write(r)
        :: role[r] == LEADER && length[r] > 0 ->
            if
            :: n = 1
            :: length[r] == 2 -> n = 2
            fi;
            commit(r, n)
        :: if
            :: MAY_HEAR(r, 1) -> t = 1
            :: MAY_HEAR(r, 2) -> t = 2
#if MAX_TERM > 2
            :: MAY_HEAR(r, 3) -> t = 3
#endif
#if MAX_TERM > 3
            :: MAY_HEAR(r, 4) -> t = 4
#endif
            fi;
            if :: n = 0 :: termLength[t] >= 1 -> n = 1 :: termLength[t] == 2 -> n = 2 fi;
            if :: p = 0 :: n >= 1 -> p = 1 :: n == 2 -> p = 2 fi;
            receive(r, t, p, n)
        :: role[r] != FOLLOWER ->
            role[r] = FOLLOWER;
            votes[r] = 0
#ifdef ACK_BEFORE_SYNC
        :: forget(r);
            role[r] = FOLLOWER;
            votes[r] = 0
#endif
        :: MAY_LOSE_DISK && !diskLost ->
            diskLost = true;
            forget(r);
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
