/*
 * Optimistic concurrency control of configuration versions.
 *
 * Operators send changes concurrently. Each change names the version that it is to become, and may
 * arrive in any order, more than once, and before earlier replies. The leader merges a change into
 * the configuration in force when the request arrives; the command is applied later, in log order.
 * A change of leader keeps the log but loses proposals that are not committed. Each change sets one
 * bit of the content, so a lost update shows as a missing bit.
 *
 * Properties: a version is accepted with one content only; the version in force never decreases; an
 * accepted change stays in force; a resend of an accepted change gets the original reply.
 */
#define CHANGES 4
#define MAX_VERSION 3
#define BIT(c) (1 << (c))
#define NONE 255

byte requestedVersion[CHANGES];       /* version that the change is to become */
byte version, content;                /* configuration in force */
byte acceptedChange[MAX_VERSION + 2]; /* by version: the accepted change + 1, or 0 */
byte firstAccepted[MAX_VERSION + 2];  /* copy of acceptedChange for the assertions only */
byte acknowledged;                    /* bit mask of the changes that were reported as accepted */
bool pending[CHANGES];                /* proposed, but not applied yet */
byte mergedContent[CHANGES];          /* content that a pending change will put in force */
bool snapshotTaken;

inline propose(c)
{
#ifdef NO_BASE_CHECK
    if
    :: true ->
#else
    if
    :: requestedVersion[c] <= version + 1 ->
#endif
        pending[c] = true;
        mergedContent[c] = content | BIT(c)
    :: else
    fi
}

inline applyCommand(c)
{
    pending[c] = false;
    if
#ifndef RESEND_FORGOTTEN
    :: acceptedChange[requestedVersion[c]] == c + 1 -> acknowledged = acknowledged | BIT(c)
#endif
#ifdef LAST_WRITER_WINS
    :: acceptedChange[requestedVersion[c]] != c + 1 ->
#else
    :: acceptedChange[requestedVersion[c]] != c + 1 && requestedVersion[c] == version + 1 ->
#endif
        assert(firstAccepted[requestedVersion[c]] == 0
            || firstAccepted[requestedVersion[c]] == c + 1);
        assert(requestedVersion[c] >= version);
        firstAccepted[requestedVersion[c]] = c + 1;
        version = requestedVersion[c];
        content = mergedContent[c];
        acceptedChange[version] = c + 1;
        acknowledged = acknowledged | BIT(c)
    :: else ->
        /* Only a change that was never accepted may be rejected. */
        assert((acknowledged & BIT(c)) == 0)
    fi;
    mergedContent[c] = 0;
    assert((content & acknowledged) == acknowledged)
}

active proctype system()
{
    byte c;
    /* Explores every assignment of versions to changes, including duplicate versions. */
    c = 0;
    do
    :: c < CHANGES -> requestedVersion[c] = 1; c++
    :: c < CHANGES -> requestedVersion[c] = 2; c++
    :: c < CHANGES -> requestedVersion[c] = 3; c++
    :: else -> break
    od;
end:
    do
    :: atomic {
        if :: c = 0 :: c = 1 :: c = 2 :: c = 3 fi;
        if
        :: !pending[c] -> propose(c)
        :: pending[c] -> applyCommand(c)
        :: pending[c] -> pending[c] = false; mergedContent[c] = 0 /* leader change */
        :: !snapshotTaken ->
            snapshotTaken = true;
#ifdef SNAPSHOT_DROPS_DIGESTS
            acceptedChange[1] = 0; acceptedChange[2] = 0; acceptedChange[3] = 0
#endif
        fi;
        c = 0
    }
    od
}
