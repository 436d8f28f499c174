/*
 * Leader election with votes that are persisted before they are sent.
 *
 * Vote requests and grants stay in flight forever and may be received any number of times, which
 * covers loss, delay, reordering and duplication. A replica that lost its disk becomes a learner,
 * which neither votes nor campaigns.
 *
 * Property: a term has at most one leader.
 */
#define N 3
#ifndef MAX_TERM
#define MAX_TERM 3
#endif
/* Chooses in a single transition; select() needs one for each value that it skips. */
#define PICK_REPLICA(x) if :: x = 0 :: x = 1 :: x = 2 fi
#define BIT(r) (1 << (r))
#define COUNT(mask) (((mask) & 1) + (((mask) >> 1) & 1) + (((mask) >> 2) & 1))
#ifdef MINORITY_ELECTS
#define QUORUM 1
#else
#define QUORUM 2
#endif

byte memoryTerm[N], memoryVote[N];    /* vote: candidate + 1, or 0 */
byte diskTerm[N], diskVote[N];        /* state after a restart */
bool campaigning[N], learner[N];
byte countedVotes[N];                 /* bit mask of the voters that the candidate has counted */
byte voteRequested[MAX_TERM + 1];     /* by term: bit mask of the candidates */
byte voteGranted[N * (MAX_TERM + 1)]; /* by term and candidate: bit mask of the voters */
byte leaderOf[MAX_TERM + 1];          /* by term: leader + 1, or 0 */
bool diskLost;

#define VOTE_GRANTED(t, c) voteGranted[(t) * N + (c)]

inline sync(r)
{
    diskTerm[r] = memoryTerm[r];
    diskVote[r] = memoryVote[r]
}

inline campaign(r)
{
    memoryTerm[r]++;
    memoryVote[r] = r + 1;
    sync(r);
    campaigning[r] = true;
    countedVotes[r] = BIT(r);
    voteRequested[memoryTerm[r]] = voteRequested[memoryTerm[r]] | BIT(r)
}

inline handleVoteRequest(r, c, t)
{
    if
    :: t > memoryTerm[r] ->
        memoryTerm[r] = t;
        memoryVote[r] = 0;
        campaigning[r] = false;
        countedVotes[r] = 0
    :: else
    fi;
    if
#ifdef VOTE_TWICE
    :: t == memoryTerm[r] ->
#else
    :: t == memoryTerm[r] && (memoryVote[r] == 0 || memoryVote[r] == c + 1) ->
#endif
        memoryVote[r] = c + 1;
        VOTE_GRANTED(t, c) = VOTE_GRANTED(t, c) | BIT(r)
    :: else
    fi;
#ifndef VOTE_BEFORE_SYNC
    sync(r)
#endif
}

inline countVote(r, v)
{
    countedVotes[r] = countedVotes[r] | BIT(v)
}

inline becomeLeader(r, t)
{
    assert(leaderOf[t] == 0 || leaderOf[t] == r + 1);
    leaderOf[t] = r + 1
}

inline restart(r)
{
    memoryTerm[r] = diskTerm[r];
    memoryVote[r] = diskVote[r];
    campaigning[r] = false;
    countedVotes[r] = 0
}

active proctype system()
{
    byte r, c, t; /* replica, other replica, term */
end:
    do
    :: atomic {
        PICK_REPLICA(r);
        if
        :: !learner[r] && memoryTerm[r] < MAX_TERM -> campaign(r)
        :: !learner[r] ->
            PICK_REPLICA(c);
            select(t : 1 .. MAX_TERM);
            if
            :: c != r && (voteRequested[t] & BIT(c)) && t >= memoryTerm[r] ->
                handleVoteRequest(r, c, t)
            :: else
            fi
        :: campaigning[r] ->
            PICK_REPLICA(c);
            t = memoryTerm[r];
#ifdef COUNT_OLD_GRANTS
            select(t : 1 .. MAX_TERM);
#endif
            if
            :: c != r && (VOTE_GRANTED(t, r) & BIT(c)) -> countVote(r, c)
            :: else
            fi
        :: campaigning[r] && COUNT(countedVotes[r]) >= QUORUM -> becomeLeader(r, memoryTerm[r])
        :: restart(r)
        :: !diskLost ->
            diskLost = true;
            diskTerm[r] = 0;
            diskVote[r] = 0;
#ifndef LOST_DISK_VOTES
            learner[r] = true;
#endif
            restart(r)
#ifdef VOTE_BEFORE_SYNC
        :: sync(r)
#endif
        fi;
        r = 0;
        c = 0;
        t = 0
    }
    od
}
