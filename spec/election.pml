/*
 * Election by votes that are on disk before they are sent.
 *
 * A request and a grant stay in flight for ever, so loss, delay, reordering and duplication are all
 * covered. A replica that lost its disk is a learner and takes no part.
 *
 * Property: a term has at most one leader.
 */
#define N 3
#ifndef MAX_TERM
#define MAX_TERM 3
#endif
/* One choice is one transition, where select() would take one for every value it passes. */
#define PICK_REPLICA(x) if :: x = 0 :: x = 1 :: x = 2 fi
#define BIT(r) (1 << (r))
#define COUNT(mask) (((mask) & 1) + (((mask) >> 1) & 1) + (((mask) >> 2) & 1))
#ifdef MINORITY_ELECTS
#define ENOUGH 1
#else
#define ENOUGH 2
#endif

byte memoryTerm[N], memoryVote[N]; /* vote: candidate + 1, or 0 */
byte diskTerm[N], diskVote[N];
bool campaigning[N], learner[N];
byte received[N];                  /* grants that the candidate has counted */
byte requested[MAX_TERM + 1];      /* candidates that asked for votes in a term */
byte granted[N * (MAX_TERM + 1)];  /* voters that granted, by term and candidate */
byte leader[MAX_TERM + 1];         /* who led the term, plus 1 */
bool diskLost;

#define GRANTS(t, c) granted[(t) * N + (c)]

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
    received[r] = BIT(r);
    requested[memoryTerm[r]] = requested[memoryTerm[r]] | BIT(r)
}

inline considerRequest(r, c, t)
{
    if
    :: t > memoryTerm[r] ->
        memoryTerm[r] = t;
        memoryVote[r] = 0;
        campaigning[r] = false;
        received[r] = 0
    :: else
    fi;
    if
#ifdef VOTE_TWICE
    :: t == memoryTerm[r] ->
#else
    :: t == memoryTerm[r] && (memoryVote[r] == 0 || memoryVote[r] == c + 1) ->
#endif
        memoryVote[r] = c + 1;
        GRANTS(t, c) = GRANTS(t, c) | BIT(r)
    :: else
    fi;
#ifndef VOTE_BEFORE_SYNC
    sync(r)
#endif
}

inline countGrant(r, v)
{
    received[r] = received[r] | BIT(v)
}

inline lead(r, t)
{
    assert(leader[t] == 0 || leader[t] == r + 1);
    leader[t] = r + 1
}

inline crash(r)
{
    memoryTerm[r] = diskTerm[r];
    memoryVote[r] = diskVote[r];
    campaigning[r] = false;
    received[r] = 0
}

active proctype system()
{
    byte r, c, t;
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
            :: c != r && (requested[t] & BIT(c)) && t >= memoryTerm[r] -> considerRequest(r, c, t)
            :: else
            fi
        :: campaigning[r] ->
            PICK_REPLICA(c);
            t = memoryTerm[r];
#ifdef COUNT_OLD_GRANTS
            select(t : 1 .. MAX_TERM);
#endif
            if
            :: c != r && (GRANTS(t, r) & BIT(c)) -> countGrant(r, c)
            :: else
            fi
        :: campaigning[r] && COUNT(received[r]) >= ENOUGH -> lead(r, memoryTerm[r])
        :: crash(r)
        :: !diskLost ->
            diskLost = true;
            diskTerm[r] = 0;
            diskVote[r] = 0;
#ifndef LOST_DISK_VOTES
            learner[r] = true;
#endif
            crash(r)
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
