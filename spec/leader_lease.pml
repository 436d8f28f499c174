/*
 * Leader lease against paused leaders.
 *
 * Time is in ticks, and every timer counts down in real time. LEASE is how long the lease lasts by
 * the slowest clock, PROMISE how long a voter withholds its vote by the fastest clock. A pause is a
 * run of ticks between any two steps.
 *
 * Properties: no two replicas hold a lease at the same time, and none sends a start while another
 * one holds a lease.
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
/* One choice is one transition, where select() would take one for every value it passes. */
#define PICK_REPLICA(x) if :: x = 0 :: x = 1 :: x = 2 fi
#define BIT(r) (1 << (r))
#define COUNT(mask) (((mask) & 1) + (((mask) >> 1) & 1) + (((mask) >> 2) & 1))

byte term[N], vote[N], votes[N];
bool leads[N], campaigning[N];
byte lease[N];       /* ticks left of the leader's own lease */
byte promised[N];    /* ticks for which the voter withholds its vote */
byte round[N];       /* ticks left of the lease that the round in flight will give */
byte roundAcks[N];
byte beat[N * N];    /* term of the heartbeat in flight, by sender and receiver */
bool checked[N];
bool handedOver[MAX_TERM + 2]; /* voters ignore their promise in this term */

#define BEAT(s, r) beat[(s) * N + (r)]
#define OTHER_HOLDS(r) (lease[((r) + 1) % N] > 0 || lease[((r) + 2) % N] > 0)

inline stepDown(r)
{
    leads[r] = false;
    campaigning[r] = false;
    votes[r] = 0;
    lease[r] = 0;
    round[r] = 0;
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
#define MAY_VOTE(r, t) (promised[r] == 0 || handedOver[t])
#endif

inline beginRound(r)
{
    round[r] = LEASE;
    roundAcks[r] = BIT(r);
    BEAT(r, (r + 1) % N) = term[r];
    BEAT(r, (r + 2) % N) = term[r]
}

inline acceptBeat(s, r)
{
    adoptTerm(r, BEAT(s, r));
    campaigning[r] = false;
    votes[r] = 0;
    promised[r] = PROMISE;
    if
    :: leads[s] && term[s] == BEAT(s, r) -> roundAcks[s] = roundAcks[s] | BIT(r)
    :: else
    fi;
    BEAT(s, r) = 0
}

inline renew(r)
{
#ifdef LEASE_FROM_REPLY
    lease[r] = LEASE;
#else
    if
    :: lease[r] < round[r] -> lease[r] = round[r]
    :: else
    fi;
#endif
    round[r] = 0;
    roundAcks[r] = 0;
    assert(lease[r] == 0 || !OTHER_HOLDS(r))
}

#define DOWN(x) x = (x > 0 -> x - 1 : 0)

inline tick()
{
    r = 0;
    do
    :: r < N ->
        DOWN(lease[r]);
        DOWN(promised[r]);
        DOWN(round[r]);
        r++
    :: else -> break
    od
}

active proctype system()
{
    byte r, c;
end:
    do
    :: atomic { tick(); r = 0 }
    :: atomic {
        PICK_REPLICA(r);
        if
        :: !leads[r] && term[r] < MAX_TERM && MAY_VOTE(r, term[r] + 1) ->
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
            leads[r] = true
        :: leads[r] -> beginRound(r)
        :: PICK_REPLICA(c);
            if
            :: BEAT(c, r) != 0 && BEAT(c, r) >= term[r] -> acceptBeat(c, r)
            :: else -> BEAT(c, r) = 0
            fi
        :: leads[r] && COUNT(roundAcks[r]) >= 2 -> renew(r)
#ifdef CHECK_BEFORE_PAUSE
        :: lease[r] > 0 -> checked[r] = true
        :: checked[r] ->
            checked[r] = false;
            assert(!OTHER_HOLDS(r))
#else
        :: leads[r] && lease[r] > 0 -> assert(!OTHER_HOLDS(r))
#endif
        :: leads[r] && term[r] < MAX_TERM ->
            handedOver[term[r] + 1] = true;
#ifndef HANDOVER_KEEPS_LEASE
            stepDown(r)
#endif
        :: stepDown(r); /* crash and restart */
#ifdef RESTART_VOTES_AT_ONCE
            promised[r] = 0
#else
            promised[r] = PROMISE
#endif
        fi;
        r = 0;
        c = 0
    }
    od
}
