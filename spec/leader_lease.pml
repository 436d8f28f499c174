/*
 * Leader lease under clock drift and process pauses.
 *
 * Time advances in ticks, and every timer counts down in real time. LEASE is the duration of a
 * lease on the slowest clock, PROMISE the time for which a voter withholds its vote on the fastest
 * clock. Any number of ticks may pass between two steps of a replica, which models a pause.
 *
 * Properties: no two replicas hold a lease at the same time, and no replica sends a start while
 * another one holds a lease.
 */
#define N 3
#ifndef MAX_TERM
#define MAX_TERM 3
#endif
#define LEASE 2
#ifdef NO_DRIFT_MARGIN
#define PROMISE 1
#else
#define PROMISE 2
#endif
/* Chooses in a single transition; select() needs one for each value that it skips. */
#define PICK_REPLICA(x) if :: x = 0 :: x = 1 :: x = 2 fi
#define BIT(r) (1 << (r))
#define COUNT(mask) (((mask) & 1) + (((mask) >> 1) & 1) + (((mask) >> 2) & 1))

byte term[N], vote[N], votes[N]; /* vote: candidate + 1, or 0; votes: bit mask of the voters */
bool isLeader[N], campaigning[N];
byte lease[N];                   /* remaining ticks of the leader's lease */
byte withheld[N];                /* remaining ticks for which the voter withholds its vote */
byte roundLease[N];              /* remaining ticks of the lease that the round will grant */
byte roundAcks[N];               /* bit mask of the voters that acknowledged the heartbeat round */
byte heartbeat[N * N];           /* by sender and receiver: term of the heartbeat in flight, or 0 */
bool leaseChecked[N];            /* checked the lease, but did not send the start yet */
bool handedOver[MAX_TERM + 2];   /* by term: voters do not withhold their vote */

#define HEARTBEAT(s, r) heartbeat[(s) * N + (r)]
#define OTHER_HOLDS_LEASE(r) (lease[((r) + 1) % N] > 0 || lease[((r) + 2) % N] > 0)

inline stepDown(r)
{
    isLeader[r] = false;
    campaigning[r] = false;
    votes[r] = 0;
    lease[r] = 0;
    roundLease[r] = 0;
    roundAcks[r] = 0
}

inline adoptTerm(r, t)
{
    if
    :: t > term[r] ->
        term[r] = t;
        vote[r] = 0;
        stepDown(r)
    :: else
    fi
}

#ifdef NO_PROMISE
#define MAY_VOTE(r, t) true
#else
#define MAY_VOTE(r, t) (withheld[r] == 0 || handedOver[t])
#endif

inline beginRound(r)
{
    roundLease[r] = LEASE;
    roundAcks[r] = BIT(r);
    HEARTBEAT(r, (r + 1) % N) = term[r];
    HEARTBEAT(r, (r + 2) % N) = term[r]
}

inline receiveHeartbeat(s, r)
{
    adoptTerm(r, HEARTBEAT(s, r));
    campaigning[r] = false;
    votes[r] = 0;
    withheld[r] = PROMISE;
    if
    :: isLeader[s] && term[s] == HEARTBEAT(s, r) -> roundAcks[s] = roundAcks[s] | BIT(r)
    :: else
    fi;
    HEARTBEAT(s, r) = 0
}

inline renewLease(r)
{
#ifdef LEASE_FROM_REPLY
    lease[r] = LEASE;
#else
    if
    :: lease[r] < roundLease[r] -> lease[r] = roundLease[r]
    :: else
    fi;
#endif
    roundLease[r] = 0;
    roundAcks[r] = 0;
    assert(lease[r] == 0 || !OTHER_HOLDS_LEASE(r))
}

#define COUNT_DOWN(x) x = (x > 0 -> x - 1 : 0)

inline tick()
{
    r = 0;
    do
    :: r < N ->
        COUNT_DOWN(lease[r]);
        COUNT_DOWN(withheld[r]);
        COUNT_DOWN(roundLease[r]);
        r++
    :: else -> break
    od
}

active proctype system()
{
    byte r, c; /* replica, other replica */
end:
    do
    :: atomic { tick(); r = 0 }
    :: atomic {
        PICK_REPLICA(r);
        if
        :: !isLeader[r] && term[r] < MAX_TERM && MAY_VOTE(r, term[r] + 1) ->
            term[r]++;
            vote[r] = r + 1;
            stepDown(r);
            campaigning[r] = true;
            votes[r] = BIT(r)
        :: PICK_REPLICA(c);
            if
            :: c != r && campaigning[c] && term[c] >= term[r] && MAY_VOTE(r, term[c]) ->
                adoptTerm(r, term[c]);
                if
                :: vote[r] == 0 || vote[r] == c + 1 ->
                    vote[r] = c + 1;
                    votes[c] = votes[c] | BIT(r)
                :: else
                fi
            :: else
            fi
        :: campaigning[r] && COUNT(votes[r]) >= 2 ->
            stepDown(r);
            isLeader[r] = true
        :: isLeader[r] -> beginRound(r)
        :: PICK_REPLICA(c);
            if
            :: HEARTBEAT(c, r) != 0 && HEARTBEAT(c, r) >= term[r] -> receiveHeartbeat(c, r)
            :: else -> HEARTBEAT(c, r) = 0
            fi
        :: isLeader[r] && COUNT(roundAcks[r]) >= 2 -> renewLease(r)
#ifdef CHECK_BEFORE_PAUSE
        :: lease[r] > 0 -> leaseChecked[r] = true
        :: leaseChecked[r] ->
            leaseChecked[r] = false;
            assert(!OTHER_HOLDS_LEASE(r))
#else
        :: isLeader[r] && lease[r] > 0 -> assert(!OTHER_HOLDS_LEASE(r))
#endif
        :: isLeader[r] && term[r] < MAX_TERM ->
            handedOver[term[r] + 1] = true;
#ifndef HANDOVER_KEEPS_LEASE
            stepDown(r)
#endif
        :: stepDown(r); /* crash and restart */
#ifdef RESTART_VOTES_AT_ONCE
            withheld[r] = 0
#else
            withheld[r] = PROMISE
#endif
        fi;
        r = 0;
        c = 0
    }
    od
}
