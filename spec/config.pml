/*
 * Configuration versions.
 *
 * Two operators send changes, each against the version that it names, in any order, twice, and
 * without waiting for replies. The leader merges a change over the configuration that it sees when
 * the request arrives; the command is committed later, in log order. A change of leader keeps the
 * log. A change is one bit, so a lost change shows as a missing bit.
 *
 * Properties: a version is accepted with one content only; the version in force never falls; an
 * accepted change stays in force; a resend of an accepted change gets the first answer.
 */
#define CHANGES 4
#define MAX_VERSION 3
#define BIT(c) (1 << (c))
#define NONE 255

byte asks[CHANGES];          /* the version that each change asks for */
byte version, content;       /* in force */
byte digest[MAX_VERSION + 2];/* accepted change of a version, plus 1 */
byte first[MAX_VERSION + 2]; /* the same, kept by the checker alone */
byte accepted;               /* changes whose sender was told "accepted" */
bool pending[CHANGES];       /* proposed and not applied yet */
byte merged[CHANGES];
bool snapshotTaken;

inline request(c)
{
#ifdef NO_BASE_CHECK
    if
    :: true ->
#else
    if
    :: asks[c] <= version + 1 ->
#endif
        pending[c] = true;
        merged[c] = content | BIT(c)
    :: else
    fi
}

inline apply(c)
{
    pending[c] = false;
    if
#ifndef RESEND_FORGOTTEN
    :: digest[asks[c]] == c + 1 -> accepted = accepted | BIT(c)
#endif
#ifdef LAST_WRITER_WINS
    :: digest[asks[c]] != c + 1 ->
#else
    :: digest[asks[c]] != c + 1 && asks[c] == version + 1 ->
#endif
        assert(first[asks[c]] == 0 || first[asks[c]] == c + 1);
        assert(asks[c] >= version);
        first[asks[c]] = c + 1;
        version = asks[c];
        content = merged[c];
        digest[version] = c + 1;
        accepted = accepted | BIT(c)
    :: else ->
        /* A refusal must be true: this change was not accepted before. */
        assert((accepted & BIT(c)) == 0)
    fi;
    merged[c] = 0;
    assert((content & accepted) == accepted)
}

active proctype system()
{
    byte c;
    /* Every assignment of versions to changes is explored, equal ones included. */
    c = 0;
    do
    :: c < CHANGES -> asks[c] = 1; c++
    :: c < CHANGES -> asks[c] = 2; c++
    :: c < CHANGES -> asks[c] = 3; c++
    :: else -> break
    od;
end:
    do
    :: atomic {
        if :: c = 0 :: c = 1 :: c = 2 :: c = 3 fi;
        if
        :: !pending[c] -> request(c)
        :: pending[c] -> apply(c)
        :: pending[c] -> pending[c] = false; merged[c] = 0 /* lost with the leader */
        :: !snapshotTaken ->
            snapshotTaken = true;
#ifdef SNAPSHOT_DROPS_DIGESTS
            digest[1] = 0; digest[2] = 0; digest[3] = 0
#endif
        fi;
        c = 0
    }
    od
}
