/*
 * The core protocol for one shard and one request id: three sessions that may own the shard, two runners that carry the
 * same id (a request and its resend), and a platform that loses answers and lets lost writes arrive late.
 *
 * A process that is never scheduled again is a lost one; one that is scheduled late is a paused one. So every owner and
 * every runner may be lost or paused at every point. Session 0 owns the shard at the start; sessions 1 and 2 each take
 * over once, at any time, also at the same time. README.md maps the lines to the code.
 *
 * Build flags: NON_IDEMPOTENT for an id that may run at most once; NO_RELEASE leaves claims that are given back out; LOST, CLAIMS, COMMITS: how many
 * answers the platform loses, and how often a runner calls an owner with each call.
 * Mutations that must fail: NO_SEAL, NO_READ_BACK, DISPATCH_BEFORE_INTENT, UNPROVED_NOT_RUN, LATE_ANSWER.
 */
#define SESSIONS 3
#define RUNNERS 2
#define GROUPS 5
#ifndef LOST
#define LOST 2
#endif
#ifndef CLAIMS
#define CLAIMS 1
#endif
#ifndef COMMITS
#define COMMITS 1
#endif

/* What a journal row holds. INTENT + r and RESULT + r are of runner r. */
#define EMPTY 0
#define SEAL 1
#define WITHDRAW 2
#define INTENT 3
#define RESULT 5
#define ROW(s, n) ((s) * GROUPS + (n))

/* What an owner knows of the id (RequestTable::Stage). */
#define ABSENT 0
#define CLAIMED 1
#define INTENT_PENDING 2
#define INTENT_DURABLE 3
#define WITHDRAW_PENDING 4
#define RESULT_PENDING 5
#define DONE 6

/* Calls to an owner, and its decisions. */
#define CLAIM 1
#define COMMIT 2
#define RELEASE 3
#define RUN 1
#define ANSWER 2
#define OUTCOME_UNKNOWN 3
#define UNAVAILABLE 4
#define TRY_AGAIN 5

/* Outcomes of a platform write. NotApplied is the same as not having tried yet. */
#define WRITTEN 1
#define REFUSED 2
#define LOST_ANSWER 3

/* The platform: journals, the shard row, and one write whose answer was lost and that may arrive late. */
byte journal[SESSIONS * GROUPS];
byte rowOwner = 0;
byte rowEpoch = 0;
byte chain[SESSIONS]; /* the session that owned the shard in each epoch */
byte spanEnd[SESSIONS]; /* groups of a session that belong to the shard, once another session sealed its journal */
byte lost = LOST;
byte lateKind = 0; /* 0: none, 1: journal row, 2: shard row */
byte lateKey, lateValue, lateEnd;

bit takeoverBegan = 0;
bit claimBegan = 0;
bit owning[SESSIONS]; /* what the session believes of itself */

chan calls[SESSIONS] = [1] of { byte, byte, byte }; /* call, runner, its number */
chan answers[RUNNERS] = [2] of { byte, byte, byte }; /* number, decision, value */

/* What was observed, for the properties. */
byte runs = 0;
byte acknowledged = 0; /* the result that some owner called durable */
byte answered = 0; /* the result that some caller got */

inline acknowledge(value)
{
    assert(acknowledged == 0 || acknowledged == value);
    acknowledged = value
}

inline insertIfAbsent(key, value, outcome)
{
    if
    :: journal[key] == EMPTY -> journal[key] = value; outcome = WRITTEN
    :: journal[key] != EMPTY -> outcome = REFUSED
    :: lost > 0 && journal[key] == EMPTY -> lost--; journal[key] = value; outcome = LOST_ANSWER
    :: lost > 0 && lateKind == 0 -> lost--; lateKind = 1; lateKey = key; lateValue = value; outcome = LOST_ANSWER
    fi
}

/* The shard row changes by a transaction on its version, which is its epoch. */
inline claimRow(epoch, taker, end, outcome)
{
    if
    :: rowEpoch == epoch -> spanEnd[rowOwner] = end; rowOwner = taker; rowEpoch = epoch + 1; chain[rowEpoch] = taker; outcome = WRITTEN
    :: rowEpoch != epoch -> outcome = REFUSED
    :: lost > 0 && rowEpoch == epoch -> lost--; spanEnd[rowOwner] = end; rowOwner = taker; rowEpoch = epoch + 1; chain[rowEpoch] = taker; outcome = LOST_ANSWER
    :: lost > 0 && lateKind == 0 -> lost--; lateKind = 2; lateKey = epoch; lateValue = taker; lateEnd = end; outcome = LOST_ANSWER
    fi
}

/* A write whose answer was lost arrives late, or never. */
active proctype Network()
{
end:
    do
    :: atomic {
           lateKind == 1 ->
           if
           :: journal[lateKey] == EMPTY -> journal[lateKey] = lateValue
           :: else
           fi;
           lateKind = 0
       }
    :: atomic {
           lateKind == 2 ->
           if
           :: rowEpoch == lateKey -> spanEnd[rowOwner] = lateEnd; rowOwner = lateValue; rowEpoch = lateKey + 1; chain[rowEpoch] = lateValue
           :: else
           fi;
           lateKind = 0
       }
    od
}

/* One record of a journal that is replayed (RequestTable::replay). */
inline replay(record)
{
    if
    :: record >= INTENT && record < RESULT && stage == ABSENT -> stage = INTENT_DURABLE; holder = record - INTENT
    :: record == WITHDRAW && stage != DONE -> stage = ABSENT; holder = 0
    :: record >= RESULT && stage != DONE -> stage = DONE; result = record
    :: else
    fi
}

/* Wait until the row is in the journal, or a seal stands in its place (JournalWriter). */
inline append(record)
{
    do
    :: atomic {
           insertIfAbsent(ROW(self, next), record, outcome);
           if
           :: outcome == WRITTEN -> break
           :: else
           fi
       };
#ifdef NO_READ_BACK
       break
#else
       atomic {
           if
           :: journal[ROW(self, next)] == record -> break
           :: journal[ROW(self, next)] == SEAL -> fenced = 1; break
           :: journal[ROW(self, next)] == EMPTY /* written again */
           fi
       }
#endif
    od;
    outcome = 0;
    next++
}

proctype Owner(byte self)
{
    byte stage = ABSENT, holder = 0, result = 0;
    byte next = 0, outcome = 0, call, runner, number;
    byte epoch = 0, i = 0, group = 0, victim = 0;
    bit fenced = 0;

    /* Take the shard over: seal, replay, claim the row, confirm. Session 0 has it from the start. */
    if
    :: self == 0 -> goto serving
    :: self != 0
    fi;
    atomic {
        /* Sessions 1 and 2 are alike, so session 2 starts no earlier: each order of the two is explored once. */
        self == 1 || takeoverBegan;
        takeoverBegan = 1;
        epoch = rowEpoch;
        victim = rowOwner;
        /* Journals of earlier owners were sealed before: what they hold no longer changes. */
        do
        :: i < epoch ->
            group = 0;
            do
            :: group < spanEnd[chain[i]] -> replay(journal[ROW(chain[i], group)]); group++
            :: else -> break
            od;
            i++
        :: else -> break
        od;
        group = 0
    };
    do
    :: atomic {
           /* One page: all rows there are. */
           do
           :: group < GROUPS && journal[ROW(victim, group)] > SEAL -> replay(journal[ROW(victim, group)]); group++
           :: else -> break
           od;
           if
           :: group == GROUPS -> break
           :: group < GROUPS && journal[ROW(victim, group)] == SEAL -> break
           :: group < GROUPS && journal[ROW(victim, group)] == EMPTY
           fi
       };
#ifdef NO_SEAL
       break
#else
       atomic {
           insertIfAbsent(ROW(victim, group), SEAL, outcome);
           if
           :: outcome == WRITTEN -> outcome = 0; break
           :: else -> outcome = 0 /* refused or unknown: reading on from here tells */
           fi
       }
#endif
    od;
    atomic { claimRow(epoch, self, group, outcome) };
    atomic {
        if
        :: outcome == REFUSED -> goto gone
        :: else
        fi;
        if
        :: rowEpoch == epoch + 1 && rowOwner == self
        :: else -> goto gone
        fi;
        /* An acknowledged result is never lost. */
        assert(acknowledged == 0 || (stage == DONE && result == acknowledged));
        if
        :: stage == DONE -> acknowledge(result)
        :: else
        fi;
        outcome = 0; epoch = 0; i = 0; group = 0; victim = 0;
        owning[self] = 1
    };

serving:
end:
    do
    :: atomic {
           calls[self] ? call, runner, number ->
           if
           :: call == CLAIM && stage == DONE -> answers[runner] ! number, ANSWER, result
#ifdef NON_IDEMPOTENT
           :: call == CLAIM && stage == ABSENT -> answers[runner] ! number, UNAVAILABLE, 0 /* the platform is down */
           :: call == CLAIM && stage == ABSENT -> stage = INTENT_PENDING; holder = runner; call = 0; goto intent
           :: call == CLAIM && stage == INTENT_DURABLE ->
               if
               :: holder == runner -> answers[runner] ! number, RUN, 0
               :: holder != runner /* join: told to ask again */
               :: answers[runner] ! number, OUTCOME_UNKNOWN, 0 /* its runner is gone, or silent for a lease's time */
               fi
           :: call == RELEASE ->
               if
               :: stage == INTENT_DURABLE && holder == runner -> stage = WITHDRAW_PENDING; call = 0; goto withdraw
               :: else
               fi
#else
           :: call == CLAIM && stage == ABSENT -> stage = CLAIMED; holder = runner; answers[runner] ! number, RUN, 0
           :: call == CLAIM && stage == CLAIMED -> holder = runner; answers[runner] ! number, RUN, 0 /* the lease ran out */
           :: call == CLAIM && stage == CLAIMED && holder != runner /* join: told to ask again */
#endif
           :: call == COMMIT && stage == DONE -> answers[runner] ! number, ANSWER, result
           :: call == COMMIT && stage != DONE ->
               stage = RESULT_PENDING; result = RESULT + runner; call = 0; goto commit
           fi;
           call = 0; runner = 0; number = 0
       };
       goto serving;
intent:
#ifdef DISPATCH_BEFORE_INTENT
       answers[runner] ! number, RUN, 0;
#endif
       append(INTENT + holder);
       atomic {
           if
           :: fenced -> goto gone
           :: else -> stage = INTENT_DURABLE
           fi
       };
       atomic {
#ifndef DISPATCH_BEFORE_INTENT
           answers[runner] ! number, RUN, 0;
#endif
           runner = 0; number = 0
       };
       goto serving;
withdraw:
       append(WITHDRAW);
       atomic {
           if
           :: fenced -> goto gone
           :: else -> stage = ABSENT; holder = 0; runner = 0; number = 0
           fi
       };
       goto serving;
commit:
       append(result);
       atomic {
           if
           :: fenced -> goto gone
           :: else -> stage = DONE; acknowledge(result)
           fi
       };
       atomic { answers[runner] ! number, ANSWER, result; runner = 0; number = 0 }
    od;
gone:
    /* Fenced, or another session was first: it turns every call away, which for the runner is as good as no answer. */
    atomic { owning[self] = 0; stage = 0; holder = 0; result = 0; next = 0; outcome = 0; runner = 0; number = 0; fenced = 0; epoch = 0; i = 0; group = 0; victim = 0 }
}

/* Call any of the owners, whoever this node takes for it, and wait for the answer or give the call up. */
inline callOwner(what)
{
    atomic {
        number++;
        do
        :: answers[self] ? _, _, _ /* what was not waited for is dropped */
        :: empty(answers[self]) -> break
        od;
        if
        :: owning[0] && nfull(calls[0]) -> calls[0] ! what, self, number
        :: owning[1] && nfull(calls[1]) -> calls[1] ! what, self, number
        :: owning[2] && nfull(calls[2]) -> calls[2] ! what, self, number
        fi
    };
    do
    :: atomic {
           answers[self] ? reply, decision, value ->
           if
           :: reply == number -> reply = 0; break
           :: else -> reply = 0; decision = 0; value = 0 /* the late answer to an earlier call */
           fi
       }
    :: atomic { decision = TRY_AGAIN; break } /* timed out */
    od
}

proctype Runner(byte self)
{
    byte number = 0, reply, decision, value, tries = 0;

    atomic {
        /* The runners are alike: the resend comes no earlier than the request. */
        self == 0 || claimBegan;
        claimBegan = 1
    };
claim:
    do
    :: tries < CLAIMS ->
        tries++;
        callOwner(CLAIM);
        if
        :: decision == RUN -> goto dispatch
        :: decision == ANSWER -> goto answer
        :: decision == OUTCOME_UNKNOWN -> goto gone
        :: decision == UNAVAILABLE
        :: decision == TRY_AGAIN
        fi
    :: tries == CLAIMS ->
        /* Given up without having sent it. Another runner of the id may have: only "unknown" is proved. */
#ifdef UNPROVED_NOT_RUN
        if
        :: decision == UNAVAILABLE -> assert(runs == 0) /* refused as not_run */
        :: else
        fi;
#endif
        goto release
    od;

dispatch:
#ifdef NON_IDEMPOTENT
    if
    :: skip /* sent */
    :: atomic { assert(runs == 0); goto release } /* the endpoint was not reached: refused as not_run */
    fi;
#endif
    atomic {
        runs++;
#ifdef NON_IDEMPOTENT
        assert(runs <= 1);
#endif
        tries = 0
    };
    do
    :: tries < COMMITS ->
        tries++;
        callOwner(COMMIT);
        if
        :: decision == ANSWER -> goto answer
        :: else
        fi
    :: tries == COMMITS -> goto gone /* kept, and sent again later */
    od;

release:
#if defined(NON_IDEMPOTENT) && !defined(NO_RELEASE)
    /* It was never sent and never will be: whatever claim an owner may hold for it is given back. */
    callOwner(RELEASE);
#ifdef LATE_ANSWER
    if
    :: atomic { answers[self] ? reply, decision, value -> decision == RUN }; goto dispatch
    :: skip
    fi;
#endif
#endif
    goto gone;

answer:
    atomic {
        assert(answered == 0 || answered == value);
        assert(acknowledged == value);
        answered = value
    };
gone:
    atomic { tries = 0; number = 0; decision = 0; value = 0 }
}

init
{
    atomic {
        owning[0] = 1;
        run Owner(0);
        run Owner(1);
        run Owner(2);
        run Runner(0);
        run Runner(1)
    }
}
