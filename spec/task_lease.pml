/*
 * One task that is started on workers under leases.
 *
 * The replicated log (state, attempt, instance, cancelled) survives a change of leader; worker
 * sessions do not. Clocks are abstracted to one rule: a leader treats a lease as expired only after
 * it has expired on the worker, which counts it from sending the heartbeat. The arithmetic of
 * leader_lease.pml and libs/contract provide this rule. Messages are lost, delayed and reordered; a
 * start is not duplicated, since it is sent once over TCP. Generations are scaled down: a worker
 * accepts a start that is at most LAG generations behind.
 *
 * Properties: when the leader releases an attempt, it does not run any more, and a worker accepts
 * only the attempt that the log has running on it. Hence the task never runs in two places,
 * whichever worker gets the next attempt, so exploring one worker is enough. A task that was
 * cancelled or has ended does not start. With NON_REPEATABLE it runs at most once.
 */
#define WORKERS 1
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
byte generation[WORKERS], incarnation[WORKERS];
bool expired[WORKERS];              /* the leader has treated the worker's lease as expired */
bool contacted[WORKERS];            /* a heartbeat has arrived in this term */
bool tracked[ATTEMPTS + 1];         /* the attempt may be running */
byte proofGeneration[ATTEMPTS + 1]; /* lowest generation whose report proves that it does not run */
byte unsentAttempt;                 /* committed attempt whose start was not sent yet, or 0 */

/* By attempt: the start or the reply to it that is in flight. */
#define NO_MESSAGE 0
#define START 1
#define ACCEPTED 2
#define REFUSED 3
byte messageInFlight[ATTEMPTS + 1], startTerm[ATTEMPTS + 1], startGeneration[ATTEMPTS + 1];
byte target[ATTEMPTS + 1];

/*
 * By worker: the heartbeat and the reply in flight. Fresh means that the lease that is counted from
 * the heartbeat has not expired yet.
 */
bool heartbeat[WORKERS], heartbeatFresh[WORKERS], heartbeatAnnounces[WORKERS];
byte heartbeatTerm[WORKERS], heartbeatGeneration[WORKERS], heartbeatHeld[WORKERS];
byte heartbeatIncarnation[WORKERS];
bool reply[WORKERS], replyFresh[WORKERS];
byte replyTerm[WORKERS], replyGeneration[WORKERS], replyIncarnation[WORKERS];

/* The workers. */
bool leased[WORKERS], announced[WORKERS];
byte seenTerm[WORKERS], seenGeneration[WORKERS];
byte running[WORKERS], answered[WORKERS], stopped[WORKERS]; /* bit masks of attempts */
byte ownIncarnation[WORKERS];

/* For the assertions and bounds. */
byte restarts, executions;
bool cancelledWhilePending; /* no start may follow */

#ifdef NON_REPEATABLE
#define REPEATABLE false
#else
#define REPEATABLE true
#endif

inline releaseAttempt(a, mayHaveRun)
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

inline placeTask(w)
{
    assert(!cancelledWhilePending);
    attempt++;
    instance = w;
#ifdef SEND_BEFORE_COMMIT
    /* The start is sent before its command is committed, which may never happen. */
    messageInFlight[attempt] = START;
    target[attempt] = w;
    startTerm[attempt] = term;
    startGeneration[attempt] = generation[w];
    if
    :: state = RUNNING;
        tracked[attempt] = true;
        proofGeneration[attempt] = generation[w] + LAG + 1
    :: attempt--
    fi
#else
    state = RUNNING;
    unsentAttempt = attempt
#endif
}

inline sendStart(a)
{
    unsentAttempt = 0;
    if
    :: cancelled -> releaseAttempt(a, false)
    :: else ->
        messageInFlight[a] = START;
        target[a] = instance;
        startTerm[a] = term;
        startGeneration[a] = generation[instance];
        tracked[a] = true;
#ifdef PROOF_TOO_EARLY
        proofGeneration[a] = generation[instance] + 1
#else
        proofGeneration[a] = generation[instance] + LAG + 1
#endif
    fi
}

inline changeLeader()
{
    if
    :: unsentAttempt != 0 ->
        /* The old leader, which checked its lease before it paused, sends now or never. */
        if
        :: messageInFlight[unsentAttempt] = START;
            target[unsentAttempt] = instance;
            startTerm[unsentAttempt] = term;
            startGeneration[unsentAttempt] = generation[instance]
        :: true
        fi;
        unsentAttempt = 0
    :: else
    fi;
    term++;
    w = 0;
    do
    :: w < WORKERS ->
        generation[w] = 0;
        expired[w] = false;
        contacted[w] = false;
        w++
    :: else -> break
    od;
    a = 1;
    do
    :: a <= ATTEMPTS ->
        tracked[a] = (state == RUNNING && attempt == a);
        proofGeneration[a] = 0;
        a++
    :: else -> break
    od;
#ifdef NEW_LEADER_ASSUMES_GONE
    if
    :: state == RUNNING -> releaseAttempt(attempt, true)
    :: else
    fi
#endif
}

#ifdef EARLY_EXPIRY
#define LEASE_EXPIRED(w) true
#else
#define LEASE_EXPIRED(w) (!leased[w] && !(reply[w] && replyFresh[w]))
#endif

inline expireWorker(w)
{
    expired[w] = true;
#ifndef NO_FENCE_ON_EXPIRY
    generation[w] = generation[w] + LAG;
#endif
    a = 1;
    do
    :: a <= ATTEMPTS ->
        if
        :: tracked[a] && attempt == a && instance == w -> releaseAttempt(a, true)
        :: else
        fi;
        a++
    :: else -> break
    od
}

#define IS_RESTART(w) (heartbeatAnnounces[w] && heartbeatIncarnation[w] != incarnation[w])
#define PROVES_ABSENCE(w, a) (!(heartbeatHeld[w] & BIT(a)) && (IS_RESTART(w) \
    || (heartbeatTerm[w] == term && heartbeatGeneration[w] >= proofGeneration[a])))

inline receiveHeartbeat(w)
{
    heartbeat[w] = false;
    if
    :: heartbeatAnnounces[w] || heartbeatIncarnation[w] == incarnation[w] ->
        a = 1;
        do
        :: a <= ATTEMPTS ->
            if
            :: tracked[a] && attempt == a && instance == w && PROVES_ABSENCE(w, a) ->
                releaseAttempt(a, true)
            :: else
            fi;
            a++
        :: else -> break
        od;
        if
        :: heartbeatIncarnation[w] != incarnation[w] ->
            incarnation[w] = heartbeatIncarnation[w];
#ifndef NO_FENCE_ON_RESTART
            generation[w] = generation[w] + LAG
#endif
        :: else
        fi;
        expired[w] = false;
        contacted[w] = true;
        generation[w]++;
        reply[w] = true;
        replyFresh[w] = heartbeatFresh[w];
        replyTerm[w] = term;
        replyGeneration[w] = generation[w];
        replyIncarnation[w] = heartbeatIncarnation[w]
    :: else /* status 404: the worker announces itself again */
    fi;
    heartbeatFresh[w] = false;
    heartbeatAnnounces[w] = false;
    heartbeatTerm[w] = 0;
    heartbeatGeneration[w] = 0;
    heartbeatHeld[w] = 0;
    heartbeatIncarnation[w] = 0
}

inline dropReply(w)
{
    reply[w] = false;
    replyFresh[w] = false;
    replyTerm[w] = 0;
    replyGeneration[w] = 0;
    replyIncarnation[w] = 0
}

#define REPLY_IS_NEWER(w) (replyTerm[w] > seenTerm[w] \
    || (replyTerm[w] == seenTerm[w] && replyGeneration[w] > seenGeneration[w]))

inline receiveReply(w)
{
    if
    :: replyIncarnation[w] == ownIncarnation[w] ->
        announced[w] = true;
        if
        :: REPLY_IS_NEWER(w) ->
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
    dropReply(w)
}

inline sendHeartbeat(w)
{
    heartbeat[w] = true;
    heartbeatFresh[w] = true;
    heartbeatAnnounces[w] = !announced[w];
    heartbeatTerm[w] = seenTerm[w];
    heartbeatGeneration[w] = seenGeneration[w];
    heartbeatHeld[w] = running[w] | answered[w] | stopped[w];
    heartbeatIncarnation[w] = ownIncarnation[w]
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
    :: startTerm[a] == 0 -> messageInFlight[a] = REFUSED
    :: else ->
        messageInFlight[a] = ACCEPTED;
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
    :: messageInFlight[a] == ACCEPTED && tracked[a] ->
        proofGeneration[a] = generation[target[a]] + 2
    :: messageInFlight[a] == REFUSED -> releaseAttempt(a, false)
    :: else
    fi;
    messageInFlight[a] = NO_MESSAGE
}

/* The leader records the result; the worker keeps it until the leader's reply arrives. */
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
    :: state == PENDING -> state = CANCELLED; cancelledWhilePending = true
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
    byte w, a; /* worker, attempt */
    incarnation[0] = 1;
    ownIncarnation[0] = 1;
end:
    do
    :: atomic {
        w = 0;
        if
        /* The leader. */
        :: MAY_PLACE && attempt < ATTEMPTS && contacted[w] && !expired[w] && unsentAttempt == 0 ->
            placeTask(w)
        :: w == 0 && unsentAttempt != 0 -> sendStart(attempt)
        :: w == 0 && term < TERMS -> changeLeader()
        :: contacted[w] && !expired[w] && LEASE_EXPIRED(w) && generation[w] < MAX_GENERATION ->
            expireWorker(w)
        :: heartbeat[w] && generation[w] < MAX_GENERATION -> receiveHeartbeat(w)
        :: w == 0 && !cancelled && !ENDED(state) -> cancelTask()
        :: (answered[w] | stopped[w]) & BIT(1) -> receiveAnswer(1, w)
        :: (answered[w] | stopped[w]) & BIT(2) -> receiveAnswer(2, w)
        :: messageInFlight[1] == START && target[1] == w -> receiveStart(1, w)
        :: messageInFlight[2] == START && target[2] == w -> receiveStart(2, w)
        :: w == 0 && messageInFlight[1] != NO_MESSAGE && messageInFlight[1] != START ->
            receiveStartReply(1)
        :: w == 0 && messageInFlight[2] != NO_MESSAGE && messageInFlight[2] != START ->
            receiveStartReply(2)
        /* The worker. */
        :: !heartbeat[w] && !reply[w] -> sendHeartbeat(w)
        :: reply[w] -> receiveReply(w)
        :: leased[w] -> endLease(w)
        :: running[w] != 0 -> answered[w] = answered[w] | running[w]; running[w] = 0
        :: running[w] != 0 && cancelled -> stopped[w] = stopped[w] | running[w]; running[w] = 0
        :: restarts < RESTARTS -> restartWorker(w)
        /* Message loss and delay. */
        :: reply[w] -> dropReply(w)
        :: heartbeat[w] && heartbeatFresh[w] -> heartbeatFresh[w] = false
        :: reply[w] && replyFresh[w] -> replyFresh[w] = false
        fi;
        w = 0;
        a = 0
    }
    od
}
