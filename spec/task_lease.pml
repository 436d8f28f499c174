/*
 * One task that is started on workers under leases.
 *
 * The log (state, attempt, instance, cancelled) survives a change of leader; sessions do not. Lease
 * clocks are abstracted to their rule: a leader may treat a lease as over only when the lease that
 * the worker counts from sending its heartbeat is over, too, which leader_lease.pml's arithmetic and
 * libs/contract provide. Messages are lost, late and reordered; a start is not duplicated, since it
 * is sent once over TCP. Generations are scaled down: a start may lag LAG behind.
 *
 * Properties: an attempt does not run any more when the leader releases it, and a worker accepts
 * only the attempt that the log has running on it. So the task never runs in two places, whichever
 * worker gets the next attempt, and one worker is enough to explore; nor does it start once it was
 * cancelled or has ended. With NON_REPEATABLE it runs at most once.
 */
#define W 1
#define ATTEMPTS 2
#define LAG 1
#ifndef MAX_GENERATION
#define MAX_GENERATION 5
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef TERMS
#define TERMS 2
#endif
#define PENDING 0
#define RUNNING 1
#define SUCCEEDED 2
#define CANCELLED 3
#define UNKNOWN 4
#define ENDED(s) ((s) >= SUCCEEDED)
#define BIT(a) (1 << (a))

/* The replicated log. */
byte state, attempt, instance;
bool cancelled;

/* The leader. */
byte term = 1;
byte generation[W], incarnation[W];
bool expired[W], heard[W];
bool tracked[ATTEMPTS + 1]; /* may run, as far as the leader knows */
byte proof[ATTEMPTS + 1];   /* a report of this generation settles the attempt */
byte unsent;                /* committed, not sent yet */

/* Starts in flight, and the replies to them. */
#define NOTHING 0
#define START 1
#define ACCEPTED 2
#define REFUSED 3
byte flight[ATTEMPTS + 1], startTerm[ATTEMPTS + 1], startGeneration[ATTEMPTS + 1];
byte target[ATTEMPTS + 1];

/* Heartbeats and replies in flight; one of each per worker. Fresh: its lease is not over yet. */
bool beat[W], beatFresh[W], beatAnnounces[W];
byte beatTerm[W], beatGeneration[W], beatHeld[W], beatIncarnation[W];
bool reply[W], replyFresh[W];
byte replyTerm[W], replyGeneration[W], replyIncarnation[W];

/* Workers. */
bool leased[W], announced[W];
byte seenTerm[W], seenGeneration[W], running[W], answered[W], stopped[W], ownIncarnation[W];
byte restarts, executions;
bool over; /* cancelled before any further start */

#ifdef NON_REPEATABLE
#define REPEATABLE false
#else
#define REPEATABLE true
#endif

inline release(a, mayHaveRun)
{
    tracked[a] = false;
    if
    :: state == RUNNING && attempt == a ->
        assert((running[instance] & BIT(a)) == 0);
        if
#ifdef UNKNOWN_RUNS_AGAIN
        :: false -> state = UNKNOWN
#else
        :: mayHaveRun && !REPEATABLE -> state = UNKNOWN
#endif
        :: else ->
            if
            :: cancelled -> state = CANCELLED
            :: else -> state = PENDING
            fi
        fi
    :: else
    fi
}

inline place(w)
{
    assert(!over);
    attempt++;
    instance = w;
#ifdef SEND_BEFORE_COMMIT
    /* The start is on its way and is committed later, or never. */
    flight[attempt] = START;
    target[attempt] = w;
    startTerm[attempt] = term;
    startGeneration[attempt] = generation[w];
    if
    :: state = RUNNING;
        tracked[attempt] = true;
        proof[attempt] = generation[w] + LAG + 1
    :: attempt--
    fi
#else
    state = RUNNING;
    unsent = attempt
#endif
}

inline send(a)
{
    unsent = 0;
    if
    :: cancelled -> release(a, false)
    :: else ->
        flight[a] = START;
        target[a] = instance;
        startTerm[a] = term;
        startGeneration[a] = generation[instance];
        tracked[a] = true;
#ifdef PROOF_TOO_EARLY
        proof[a] = generation[instance] + 1
#else
        proof[a] = generation[instance] + LAG + 1
#endif
    fi
}

inline changeLeader()
{
    if
    :: unsent != 0 ->
        /* The old leader checked its lease, paused, and sends now; or it never sends. */
        if
        :: flight[unsent] = START;
            target[unsent] = instance;
            startTerm[unsent] = term;
            startGeneration[unsent] = generation[instance]
        :: true
        fi;
        unsent = 0
    :: else
    fi;
    term++;
    w = 0;
    do
    :: w < W ->
        generation[w] = 0;
        expired[w] = false;
        heard[w] = false;
        w++
    :: else -> break
    od;
    a = 1;
    do
    :: a <= ATTEMPTS ->
        tracked[a] = (state == RUNNING && attempt == a);
        proof[a] = 0;
        a++
    :: else -> break
    od;
#ifdef NEW_LEADER_ASSUMES_GONE
    if
    :: state == RUNNING -> release(attempt, true)
    :: else
    fi
#endif
}

#ifdef EARLY_EXPIRY
#define LEASE_OVER(w) true
#else
#define LEASE_OVER(w) (!leased[w] && !(reply[w] && replyFresh[w]))
#endif

inline expire(w)
{
    expired[w] = true;
#ifndef NO_FENCE_ON_EXPIRY
    generation[w] = generation[w] + LAG;
#endif
    a = 1;
    do
    :: a <= ATTEMPTS ->
        if
        :: tracked[a] && attempt == a && instance == w -> release(a, true)
        :: else
        fi;
        a++
    :: else -> break
    od
}

#define IS_RESTART(w) (beatAnnounces[w] && beatIncarnation[w] != incarnation[w])
#define PROVES_ABSENCE(w, a) (!(beatHeld[w] & BIT(a)) && (IS_RESTART(w) \
    || (beatTerm[w] == term && beatGeneration[w] >= proof[a])))

inline receiveBeat(w)
{
    beat[w] = false;
    if
    :: beatAnnounces[w] || beatIncarnation[w] == incarnation[w] ->
        a = 1;
        do
        :: a <= ATTEMPTS ->
            if
            :: tracked[a] && attempt == a && instance == w && PROVES_ABSENCE(w, a) ->
                release(a, true)
            :: else
            fi;
            a++
        :: else -> break
        od;
        if
        :: beatIncarnation[w] != incarnation[w] ->
            incarnation[w] = beatIncarnation[w];
#ifndef NO_FENCE_ON_RESTART
            generation[w] = generation[w] + LAG
#endif
        :: else
        fi;
        expired[w] = false;
        heard[w] = true;
        generation[w]++;
        reply[w] = true;
        replyFresh[w] = beatFresh[w];
        replyTerm[w] = term;
        replyGeneration[w] = generation[w];
        replyIncarnation[w] = beatIncarnation[w]
    :: else /* 404: announce again */
    fi;
    beatFresh[w] = false;
    beatAnnounces[w] = false;
    beatTerm[w] = 0;
    beatGeneration[w] = 0;
    beatHeld[w] = 0;
    beatIncarnation[w] = 0
}

inline forgetReply(w)
{
    reply[w] = false;
    replyFresh[w] = false;
    replyTerm[w] = 0;
    replyGeneration[w] = 0;
    replyIncarnation[w] = 0
}

#define IS_NEWER(w) (replyTerm[w] > seenTerm[w] \
    || (replyTerm[w] == seenTerm[w] && replyGeneration[w] > seenGeneration[w]))

inline receiveReply(w)
{
    if
    :: replyIncarnation[w] == ownIncarnation[w] ->
        announced[w] = true;
        if
        :: IS_NEWER(w) ->
            seenTerm[w] = replyTerm[w];
            seenGeneration[w] = replyGeneration[w];
#ifdef LEASE_FROM_REPLY
            leased[w] = true
#else
            leased[w] = leased[w] || replyFresh[w]
#endif
        :: else
        fi
    :: else
    fi;
    forgetReply(w)
}

inline sendBeat(w)
{
    beat[w] = true;
    beatFresh[w] = true;
    beatAnnounces[w] = !announced[w];
    beatTerm[w] = seenTerm[w];
    beatGeneration[w] = seenGeneration[w];
    beatHeld[w] = running[w] | answered[w] | stopped[w];
    beatIncarnation[w] = ownIncarnation[w]
}

#ifdef NO_TERM_CHECK
#define OLD_TERM(a, w) false
#else
#define OLD_TERM(a, w) (startTerm[a] < seenTerm[w])
#endif
#ifdef NO_GENERATION_CHECK
#define OLD_GENERATION(a, w) false
#else
#define OLD_GENERATION(a, w) \
    (startTerm[a] == seenTerm[w] && startGeneration[a] + LAG < seenGeneration[w])
#endif
#ifdef ACCEPT_WITHOUT_LEASE
#define HAS_LEASE(w) true
#else
#define HAS_LEASE(w) leased[w]
#endif

inline receiveStart(a, w)
{
    startTerm[a] = (OLD_TERM(a, w) || OLD_GENERATION(a, w) || !HAS_LEASE(w) -> 0 : startTerm[a]);
    if
    :: startTerm[a] == 0 -> flight[a] = REFUSED
    :: else ->
        flight[a] = ACCEPTED;
        startTerm[a] = 0;
        assert(running[w] == 0);
        assert(state == RUNNING && attempt == a && instance == w);
        executions++;
        assert(REPEATABLE || executions == 1);
        running[w] = BIT(a)
    fi;
    startGeneration[a] = 0
}

inline receiveStartReply(a)
{
    if
    :: flight[a] == ACCEPTED && tracked[a] -> proof[a] = generation[target[a]] + 2
    :: flight[a] == REFUSED -> release(a, false)
    :: else
    fi;
    flight[a] = NOTHING
}

/* The leader takes the answer; the worker keeps it until the reply arrives. */
inline receiveAnswer(a, w)
{
    if
    :: state == RUNNING && attempt == a && instance == w ->
        tracked[a] = false;
        if
        :: answered[w] & BIT(a) -> state = SUCCEEDED
        :: else ->
            if
            :: cancelled -> state = CANCELLED
            :: else -> state = (REPEATABLE -> PENDING : UNKNOWN)
            fi
        fi
    :: else
    fi;
    if
    :: answered[w] = answered[w] & ~BIT(a);
        stopped[w] = stopped[w] & ~BIT(a)
    :: true
    fi
}

inline endLease(w)
{
    leased[w] = false;
#ifndef WORKER_ENDS_LATE
    stopped[w] = stopped[w] | running[w];
    running[w] = 0
#endif
}

inline restartWorker(w)
{
    restarts++;
    ownIncarnation[w]++;
    leased[w] = false;
    announced[w] = false;
    seenTerm[w] = 0;
    seenGeneration[w] = 0;
    running[w] = 0;
    answered[w] = 0;
    stopped[w] = 0
}

inline cancelTask()
{
    cancelled = true;
    if
    :: state == PENDING -> state = CANCELLED; over = true
    :: else
    fi
}

#ifdef START_IGNORES_CANCEL
#define MAY_PLACE (state == PENDING || (state == CANCELLED))
#else
#define MAY_PLACE (state == PENDING && !cancelled)
#endif

active proctype system()
{
    byte w, a;
    incarnation[0] = 1;
    ownIncarnation[0] = 1;
end:
    do
    :: atomic {
        w = 0;
        if
        /* The leader. */
        :: MAY_PLACE && attempt < ATTEMPTS && heard[w] && !expired[w] && unsent == 0 -> place(w)
        :: w == 0 && unsent != 0 -> send(attempt)
        :: w == 0 && term < TERMS -> changeLeader()
        :: heard[w] && !expired[w] && LEASE_OVER(w) && generation[w] < MAX_GENERATION -> expire(w)
        :: beat[w] && generation[w] < MAX_GENERATION -> receiveBeat(w)
        :: w == 0 && !cancelled && !ENDED(state) -> cancelTask()
        :: (answered[w] | stopped[w]) & BIT(1) -> receiveAnswer(1, w)
        :: (answered[w] | stopped[w]) & BIT(2) -> receiveAnswer(2, w)
        :: flight[1] == START && target[1] == w -> receiveStart(1, w)
        :: flight[2] == START && target[2] == w -> receiveStart(2, w)
        :: w == 0 && flight[1] != NOTHING && flight[1] != START -> receiveStartReply(1)
        :: w == 0 && flight[2] != NOTHING && flight[2] != START -> receiveStartReply(2)
        /* The worker. */
        :: !beat[w] && !reply[w] -> sendBeat(w)
        :: reply[w] -> receiveReply(w)
        :: leased[w] -> endLease(w)
        :: running[w] != 0 -> answered[w] = answered[w] | running[w]; running[w] = 0
        :: running[w] != 0 && cancelled -> stopped[w] = stopped[w] | running[w]; running[w] = 0
        :: restarts < RESTARTS -> restartWorker(w)
        /* Loss and delay. */
        :: reply[w] -> forgetReply(w)
        :: beat[w] && beatFresh[w] -> beatFresh[w] = false
        :: reply[w] && replyFresh[w] -> replyFresh[w] = false
        fi;
        w = 0;
        a = 0
    }
    od
}
