/*
 * Batch jobs as rows of the platform's store: acceptance within a route's room, results at positions that never change,
 * and the end of a job. No node owns a job; every change is a transaction that expects the rows as they were read. README.md
 * says what corresponds to what in the code. With ACCEPTANCE, two nodes are sent job 0 and a third job 1, and there is room
 * for one; without it, job 0 is there, and two runners and one who ends it work on it. Flags take a safeguard out:
 *   NO_VERSION         results are written without expecting the head's version
 *   BLIND_END          the end of a job is written without expecting the head's version
 *   NO_ORDER           an acceptance does not expect the row that orders acceptances
 *   UNKNOWN_IS_REFUSED a submission whose write got no answer is refused as not stored
 */
#ifndef LOST
#define LOST 2
#endif
#define ITEMS 2
#define LIMIT 1
#define JOBS 2
#define SUBMITTERS 3
#define TRIES 2

mtype = { SUBMIT, RESULT, END };
mtype = { DONE, REFUSED, UNKNOWN };

/* The store. Job 0 has runners and may be ended; job 1 only takes room. */
bool present[JOBS];
byte version;          /* of the head of job 0 */
byte listedCount;      /* as the head of job 0 says */
byte listed[ITEMS];    /* item at each position of job 0, from 1 on; 0: none */
bool ended;
byte order = 1;        /* version of the row that orders acceptances */
byte waiting;          /* items that wait, over both jobs */

/* What callers were told. */
bool refusedTold[SUBMITTERS];
bool endTold;

byte lost;             /* writes that got no answer */

/* Writes that were not answered and arrive later, or never: kind, who or item, job or position, expected version, order. */
chan network = [LOST] of { mtype, byte, byte, byte, byte };

inline applySubmit(who, job, expectedOrder, isDone)
{
    if
    :: present[job] -> isDone = false
#ifndef NO_ORDER
    :: !present[job] && order != expectedOrder -> isDone = false
    :: !present[job] && order == expectedOrder ->
#else
    :: !present[job] ->
#endif
        assert(!refusedTold[who]);
        present[job] = true;
        order++;
        waiting++;
        assert(waiting <= LIMIT);
        if
        :: job == 0 -> version = 1
        :: else
        fi;
        isDone = true
    fi
}

inline applyResult(item, position, expected, isDone)
{
    if
#ifdef NO_VERSION
    :: true ->
#else
    :: version != expected -> isDone = false
    :: version == expected ->
#endif
        assert(!endTold);
        assert(listed[position] == 0);
        assert(listed[1 - position] != item);
        listed[position] = item;
        listedCount = position + 1;
        version++;
        isDone = true
    fi
}

inline applyEnd(count, expected, isDone)
{
    if
#ifdef BLIND_END
    :: true ->
#else
    :: version != expected -> isDone = false
    :: version == expected ->
#endif
        assert(count >= listedCount);
        ended = true;
        listedCount = count;
        version++;
        isDone = true
    fi
}

inline outcomeOf(isDone, outcome)
{
    if
    :: isDone -> outcome = DONE
    :: else -> outcome = REFUSED
    fi
}

proctype Submitter(byte who; byte job)
{
    byte tries;
    byte seenOrder;
    byte seenWaiting;
    bool seen;
    bool maybeWritten;
    bool isDone;
    mtype outcome;

    do
    :: tries == TRIES -> break
    :: tries < TRIES ->
        tries++;
        d_step { seen = present[job]; seenOrder = order; seenWaiting = waiting };
        if
        :: seen -> goto accepted
        :: !seen && seenWaiting + 1 > LIMIT -> break
        :: !seen && seenWaiting + 1 <= LIMIT
        fi;
        atomic {
            if
            :: applySubmit(who, job, seenOrder, isDone); outcomeOf(isDone, outcome)
            :: lost < LOST -> lost++; applySubmit(who, job, seenOrder, isDone); outcome = UNKNOWN
            :: lost < LOST -> lost++; network ! SUBMIT(who, job, 0, seenOrder); outcome = UNKNOWN
            fi
        };
        if
        :: outcome == DONE -> goto accepted
        :: outcome == REFUSED
        :: outcome == UNKNOWN -> maybeWritten = true
        fi
    od;
    /* The job is looked for once more before anything is told. */
    if
    :: present[job] -> goto accepted
    :: !present[job]
    fi;
#ifdef UNKNOWN_IS_REFUSED
    refusedTold[who] = true;
#else
    if
    :: maybeWritten
    :: else -> refusedTold[who] = true
    fi;
#endif
    goto over;
accepted:
    assert(present[job]);
over:
    skip;
    d_step { tries = 0; seenOrder = 0; seenWaiting = 0; seen = false; maybeWritten = false; isDone = false; outcome = 0 }
}

proctype Runner()
{
    byte tries;
    byte seenVersion;
    byte seenCount;
    byte item;
    bool stop;
    bool isDone;

    (present[0]);
    do
    :: tries == TRIES + 1 -> break
    :: tries < TRIES + 1 ->
        tries++;
        d_step {
            seenVersion = version;
            seenCount = listedCount;
            stop = ended || listedCount == ITEMS;
            item = 0
        };
        if
        :: stop -> break
        :: !stop
        fi;
        /* Any item that is not listed may be done first. */
        if
        :: listed[0] != 1 && listed[1] != 1 -> item = 1
        :: listed[0] != 2 && listed[1] != 2 -> item = 2
        :: else -> goto next
        fi;
        atomic {
            if
            :: applyResult(item, seenCount, seenVersion, isDone)
            :: lost < LOST -> lost++; applyResult(item, seenCount, seenVersion, isDone)
            :: lost < LOST -> lost++; network ! RESULT(item, seenCount, seenVersion, 0)
            fi
        };
next:
        skip;
        d_step { seenVersion = 0; seenCount = 0; item = 0; isDone = false }
    od
}

proctype Ender()
{
    byte tries;
    byte seenVersion;
    byte seenCount;
    bool isDone;
    mtype outcome;

    (present[0]);
    do
    :: tries == TRIES -> break
    :: tries < TRIES ->
        tries++;
        d_step { seenVersion = version; seenCount = listedCount };
        if
        :: ended -> endTold = true; break
        :: !ended
        fi;
        atomic {
            if
            :: applyEnd(seenCount, seenVersion, isDone); outcomeOf(isDone, outcome)
            :: lost < LOST -> lost++; applyEnd(seenCount, seenVersion, isDone); outcome = UNKNOWN
            :: lost < LOST -> lost++; network ! END(0, seenCount, seenVersion, 0); outcome = UNKNOWN
            fi;
            if
            :: outcome == DONE -> endTold = true; break
            :: else
            fi
        }
    od
}

/* Delivers what got no answer, at any time, or never. */
proctype Network()
{
    byte first;
    byte second;
    byte expected;
    byte expectedOrder;
    bool isDone;

end:
    do
    :: atomic { network ? SUBMIT(first, second, expected, expectedOrder) -> applySubmit(first, second, expectedOrder, isDone) }
    :: atomic { network ? RESULT(first, second, expected, expectedOrder) -> applyResult(first, second, expected, isDone) }
    :: atomic { network ? END(first, second, expected, expectedOrder) -> applyEnd(second, expected, isDone) }
    od
}

init
{
    atomic {
#ifdef ACCEPTANCE
        run Submitter(0, 0);
        run Submitter(1, 0);
        run Submitter(2, 1);
#else
        present[0] = true;
        version = 1;
        run Runner();
        run Runner();
        run Ender();
#endif
        run Network()
    }
}
