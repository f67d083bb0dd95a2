/*
 * The chain of configuration versions: two operators that race and whose answers are lost, three nodes that follow the
 * chain by the platform and by each other, an outage of the platform, and restarts of all nodes but one.
 *
 * A process that is never scheduled again was lost; nodes 0 and 1 may restart, at any point, and forget all they had;
 * node 2 does not. README.md maps the lines to the code.
 *
 * Mutations that must fail: OVERWRITE (a version is written whether or not its number is free), NO_READ_BACK (a lost
 * answer counts as accepted), GO_DOWN (a node takes what it is told, also when that is older), GAPS (an operator may
 * insert behind a version that is not there), STALE_PEER (a node starts by a peer's word alone, which may be behind).
 */
#define NODES 3
#define VERSIONS 4
#ifndef LOST
#define LOST 2
#endif
#ifndef RESTARTS
#define RESTARTS 2
#endif

#define WRITTEN 1
#define REFUSED 2
#define LOST_ANSWER 3

byte row[VERSIONS]; /* the nonce that holds each number; 0: free. Number 0 is "none". */
bit up = 1; /* whether the platform answers */
byte outages = 1;
byte lost = LOST;
byte restarts = RESTARTS;

/* A write that arrives late, or never. */
byte lateNumber = 0, lateNonce = 0;

/* What each node holds, and whether it has learnt where the chain stands since it started. */
byte held[NODES];
byte heldNonce[NODES];
bit known[NODES];

/* What was observed. */
byte accepted[VERSIONS]; /* the nonce that some operator was told is accepted */
byte everInForce[NODES]; /* the highest number a VM had in force, over restarts */

inline observeHeld(n, number, nonce)
{
    /* One content per number, on every node and for every operator. */
    assert(number == 0 || row[number] == nonce);
    /* Never below what this VM had in force, also over a restart. */
    assert(number >= everInForce[n]);
    everInForce[n] = number
}

inline write(number, nonce, outcome)
{
    if
#ifdef OVERWRITE
    :: up -> row[number] = nonce; outcome = WRITTEN
#else
    :: up && row[number] == 0 -> row[number] = nonce; outcome = WRITTEN
    :: up && row[number] != 0 -> outcome = REFUSED
#endif
    :: lost > 0 && up && row[number] == 0 -> lost--; row[number] = nonce; outcome = LOST_ANSWER
    :: lost > 0 && lateNumber == 0 -> lost--; lateNumber = number; lateNonce = nonce; outcome = LOST_ANSWER
    fi
}

active proctype Platform()
{
end:
    do
    :: atomic { up && outages > 0 -> outages--; up = 0 }
    :: atomic { !up -> up = 1 }
    :: atomic {
           lateNumber != 0 && up ->
           if
           :: row[lateNumber] == 0 -> row[lateNumber] = lateNonce
           :: else
           fi;
           lateNumber = 0;
           lateNonce = 0
       }
    od
}

/* An operator applies one edit of the newest version it was shown (ConfigurationWriter). */
proctype Operator(byte nonce)
{
    byte number = 1, outcome = 0;

#ifdef GAPS
    if
    :: number = 1
    :: number = 2
    fi;
#else
    /* What it edited was shown to it by some node. */
    atomic {
        if
        :: number = held[0] + 1
        :: number = held[1] + 1
        :: number = held[2] + 1
        fi
    };
#endif
look:
    atomic {
        up;
        if
        :: row[number] == nonce -> goto won
        :: row[number] != 0 && row[number] != nonce -> goto done /* raced: it is shown the difference */
        :: row[number] == 0
        fi
    };
    atomic { write(number, nonce, outcome) };
    if
    :: outcome == WRITTEN -> goto won
    :: outcome == REFUSED -> goto look
#ifdef NO_READ_BACK
    :: outcome == LOST_ANSWER -> goto won
#else
    :: outcome == LOST_ANSWER -> goto look
#endif
    fi;
won:
    atomic {
        assert(accepted[number] == 0 || accepted[number] == nonce);
        assert(row[number] == nonce);
        assert(number == 1 || row[number - 1] != 0);
        accepted[number] = nonce
    };
done:
    skip
}

inline take(n, number, nonce)
{
    if
#ifdef GO_DOWN
    :: 1 -> held[n] = number; heldNonce[n] = nonce
#else
    :: number > held[n] -> held[n] = number; heldNonce[n] = nonce
    :: else
#endif
    fi;
    known[n] = 1;
    observeHeld(n, held[n], heldNonce[n])
}

/* A node follows the chain (ConfigurationKeeper). */
proctype Node(byte n)
{
    byte newest = 0;
end:
    do
    :: atomic {
           /* Looks at the platform: the newest row. */
           up;
           newest = 0;
           do
           :: newest + 1 < VERSIONS && row[newest + 1] != 0 -> newest++
           :: else -> break
           od;
           take(n, newest, row[newest]);
           newest = 0
       }
    :: atomic {
           /* Fetches from a peer; a node that the platform has told nothing yet does not start by it. */
           if
           :: n != 0 && known[0] -> newest = 0
           :: n != 1 && known[1] -> newest = 1
           :: n != 2 && known[2] -> newest = 2
           fi;
           if
#ifdef STALE_PEER
           :: 1 -> take(n, held[newest], heldNonce[newest])
#else
           :: known[n] -> take(n, held[newest], heldNonce[newest])
           :: else
#endif
           fi;
           newest = 0
       }
    :: atomic {
           /* Restarts, and has forgotten all. */
           n < 2 && restarts > 0 ->
           restarts--;
           held[n] = 0;
           heldNonce[n] = 0;
           known[n] = 0
       }
    od
}

init
{
    atomic {
        run Operator(1);
        run Operator(2);
        run Operator(3);
        run Node(0);
        run Node(1);
        run Node(2)
    }
}
