/*
 * Who runs an open job: liveness. A final state, in which nothing can happen any more, must have no open row; faults are bounded in
 * number, so each run comes to a final state. README.md says what corresponds to what in the code. Flags take a safeguard out:
 *   NO_LOOK      a job is decided on only as its row is read or a member goes
 *   NO_REMINDER  who would inherit the job does not remind the runner that the row names
 *   ONE_REMINDER it reminds it only once
 */
#ifndef LOST
#define LOST 2
#endif
#define SMALL 0        /* accepts the job; follows the rows only while it has a reason */
#define SMALL_AGAIN 1  /* the same node after a restart, under another session */
#define LARGE 2        /* would inherit the job, and follows the rows */
#define LARGE_NEXT 3   /* would inherit it from that one, and follows the rows */
#define NODES 4
#define NEVER 4        /* a session that was never a member */
#define NONE 9         /* no row is known */

bool alive[NODES];
bool runs[NODES];
bool follows[NODES];
byte sees[NODES];      /* the runner that the row names, as the node has read it */

bool isOpen;           /* the row in the store */
byte runner;
bool isLate;           /* a write that was not answered is on its way */
byte lateRunner;

bool isSubmitted;
byte lost;             /* answers and datagrams */
byte handovers;
byte spurious;
byte drops;
byte reminders;
bool isCalm;           /* no fault comes any more */

#ifdef ONE_REMINDER
#define mayRemind (reminders < 1)
#define countReminder reminders++
#else
#define mayRemind true
#define countReminder skip
#endif
#define holder (alive[LARGE] -> LARGE : LARGE_NEXT)
#define isPresent(who) (who < NODES && alive[who])
#define current (isOpen -> runner : NONE)
#define isLocal(node) (sees[node] == node || (sees[node] != NONE && !isPresent(sees[node]) && node == holder))

/* What a node does as it reads the row, or sees that a member has gone. */
inline decide(node)
{
    if
    :: isLocal(node) -> runs[node] = true
    :: !isLocal(node) && sees[node] != NONE -> runs[node] = false
    :: sees[node] == NONE -> runs[node] = false
    fi
}

inline leave(node)
{
    alive[node] = false;
    runs[node] = false;
    follows[node] = false;
    sees[node] = NONE;
    if
    :: alive[LARGE] && !isPresent(sees[LARGE]) && sees[LARGE] != NONE -> decide(LARGE)
    :: else
    fi;
    if
    :: alive[LARGE_NEXT] && !isPresent(sees[LARGE_NEXT]) && sees[LARGE_NEXT] != NONE -> decide(LARGE_NEXT)
    :: else
    fi
}

inline step(node)
{
    if
    /* It reads the row, if it follows and knows another one. */
    :: alive[node] && follows[node] && sees[node] != current -> sees[node] = current; decide(node)
    /* It writes a result, and with it its name. */
    :: runs[node] && isOpen && runner != node && handovers < 2 -> handovers++; runner = node
    /* It writes the last result. A run of a job that is complete ends as it reads the head. */
    :: runs[node] && isOpen -> isOpen = false
    :: runs[node] && !isOpen -> runs[node] = false
    /* The store answers that there is no such job, as it was earlier. */
    :: !isCalm && runs[node] && spurious < 1 -> spurious++; runs[node] = false
#ifndef NO_LOOK
    /* It looks again at what it knows. */
    :: alive[node] && sees[node] != NONE && isLocal(node) && !runs[node] && isOpen -> runs[node] = true
#endif
    fi
}

inline lose()
{
    !isCalm && lost < LOST -> lost++
}

proctype Fleet()
{
end:
    do
    /* The acceptance is written and answered; or written, or on its way, without an answer. The node may have another session. */
    :: atomic { !isCalm && !isSubmitted && alive[SMALL] ->
            isSubmitted = true;
            if
            :: isOpen = true; runner = SMALL; runs[SMALL] = true; follows[SMALL] = true
            :: isOpen = true; runner = SMALL; lose()
            :: isLate = true; lateRunner = SMALL; lose()
            :: isLate = true; lateRunner = NEVER; lose()
            fi
        }
    :: atomic { isLate -> isLate = false; isOpen = true; runner = lateRunner }
    :: atomic { isLate -> isLate = false }
    /* Nodes go; a small one comes back under another session. */
    :: atomic { !isCalm && alive[SMALL] -> leave(SMALL); alive[SMALL_AGAIN] = true }
    :: atomic { !isCalm && alive[LARGE] -> leave(LARGE) }
    :: atomic { !isCalm -> isCalm = true }
    /* A node without a run ends to follow. */
    :: atomic { alive[SMALL] && follows[SMALL] && !runs[SMALL] && drops < 1 -> drops++; follows[SMALL] = false; sees[SMALL] = NONE }
    :: atomic { step(SMALL) }
    :: atomic { step(SMALL_AGAIN) }
    :: atomic { step(LARGE) }
    :: atomic { step(LARGE_NEXT) }
#if !defined(NO_LOOK) && !defined(NO_REMINDER)
    /* Who would inherit the job reminds its runner: a runner that has the job at hand does nothing. */
    :: atomic { isPresent(sees[holder]) && sees[holder] != holder && !runs[sees[holder]] && !follows[sees[holder]] && mayRemind ->
            countReminder;
            if
            :: follows[sees[holder]] = true
            :: lose()
            fi
        }
#endif
    od
}

proctype Monitor()
{
    timeout -> assert(!isOpen)
}

init
{
    atomic {
        alive[SMALL] = true;
        alive[LARGE] = true;
        alive[LARGE_NEXT] = true;
        follows[LARGE] = true;
        follows[LARGE_NEXT] = true;
        sees[SMALL] = NONE;
        sees[SMALL_AGAIN] = NONE;
        sees[LARGE] = NONE;
        sees[LARGE_NEXT] = NONE;
        run Fleet();
        run Monitor()
    }
}
