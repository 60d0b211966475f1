/*
 * Ownership of a placement shard: claims, fences, batches that follow a newer claim, starts that
 * arrive late, leases that expire, workers that restart. One task, two owners, two workers.
 *
 * The log is represented by the result of its replay. A start stays on its way until its lease has
 * passed and may be delivered any number of times. The end of a lease is a choice of the worker; an
 * owner may conclude that an attempt has ended only if the worker confirmed the owner's epoch and
 * the lease has passed, or the worker has a new incarnation.
 *
 * By symmetry, owner 0 claims first and records its first attempt on worker 0.
 *
 * Assertions: the task never runs in two places, no attempt runs twice, the record of an attempt
 * that may run is never overwritten, and nothing starts once the end of the task is recorded.
 */
// MUTATION: NO_EPOCH_CHECK
// MUTATION: NO_VOID_BATCH
// MUTATION: NO_PROOF_OF_END
// MUTATION: NO_ATTEMPT_CHECK
// MUTATION: NO_INCARNATION_CHECK

#define CLAIMS 3
#define ATTEMPTS 2
#define RESTARTS 1
#define NONE 15

/* Replay of the log: latest valid claim and its owner, recorded attempt and end of the task. */
byte epoch = 0;
byte epochOwner = NONE;
byte recorded = 0;
byte recordedAt = NONE;
byte recordedLife = 0;
bool ended = false;

/* Owners: latest epoch of their own, and a batch that is appended but not yet in the log. */
byte belief[2];
byte view[2];               /* attempt that the owner takes for the current one, 0 for none */
byte batchEpoch[2];
byte batchAttempt[2];
byte batchWorker[2];
byte batchLife[2];

/* Workers: highest epoch and last attempt seen, and what became of that attempt. */
byte fenced[2];
byte seen[2];
bool runs[2];
bool done[2];
byte life[2];
byte restarts = 0;

/* Start of each attempt: whether it may still arrive, and what it names. */
bool onWay[ATTEMPTS + 1];
byte startEpoch[ATTEMPTS + 1];
byte startWorker[ATTEMPTS + 1];
byte startLife[ATTEMPTS + 1];
byte runCount[ATTEMPTS + 1];

inline claim(o) {
    epoch++;
    epochOwner = o;
    belief[o] = epoch;
    view[o] = 0
}

inline fence(o, w) {
    if
    :: belief[o] >= fenced[w] -> fenced[w] = belief[o]
    :: else -> skip
    fi
}

inline write(o, w) {
    batchEpoch[o] = belief[o];
    batchAttempt[o] = recorded + 1;
    batchWorker[o] = w;
    batchLife[o] = life[w]
}

inline forgetBatch(o) {
    batchEpoch[o] = 0;
    batchAttempt[o] = 0;
    batchWorker[o] = 0;
    batchLife[o] = 0
}

/* A batch counts at its position in the log; it is void if a newer claim stands before it. */
inline land(o) {
    if
#ifdef NO_VOID_BATCH
    :: true ->
#else
    :: batchEpoch[o] == epoch ->
#endif
        assert(recordedAt == NONE && !ended);
        recorded = batchAttempt[o];
        view[o] = recorded;
        recordedAt = batchWorker[o];
        recordedLife = batchLife[o];
        onWay[recorded] = true;
        startEpoch[recorded] = batchEpoch[o];
        startWorker[recorded] = batchWorker[o];
        startLife[recorded] = batchLife[o]
#ifndef NO_VOID_BATCH
    :: else -> skip
#endif
    fi;
    forgetBatch(o)
}

#define ACTING (belief[o] == epoch && epochOwner == o)
#define STALE (belief[o] > 0 && belief[o] < epoch)
#define FENCED (fenced[recordedAt] == epoch)
#define LEASE_PASSED (!onWay[recorded] && !runs[recordedAt])
#define RESTARTED (life[recordedAt] != recordedLife)
#define FINISHED (done[recordedAt] && seen[recordedAt] == recorded && !RESTARTED)

proctype Owner(byte o) {
end:
    do
    :: atomic { epoch < CLAIMS && epochOwner != o && !ended && (epoch > 0 || o == 0) -> claim(o) }
    :: atomic { belief[o] > 0 && fenced[0] < belief[o] -> fence(o, 0) }
    :: atomic { belief[o] > 0 && fenced[1] < belief[o] -> fence(o, 1) }
    :: atomic { belief[o] > 0 && batchEpoch[o] == 0 && !ended && recordedAt == NONE && recorded < ATTEMPTS -> write(o, 0) }
    :: atomic { belief[o] > 0 && batchEpoch[o] == 0 && !ended && recordedAt == NONE && recorded < ATTEMPTS && (belief[o] > 1 || recorded > 0) -> write(o, 1) }
    :: atomic { batchEpoch[o] > 0 -> land(o) }
    /* The owner that recorded an attempt repeats its start until it is seen. */
    :: atomic { ACTING && recordedAt != NONE && startEpoch[recorded] == epoch && !onWay[recorded] && seen[recordedAt] < recorded -> onWay[recorded] = true }
    /* A replaced owner that does not know it yet repeats its starts as well. */
    :: atomic { STALE && view[o] == 1 && startEpoch[1] == belief[o] && !onWay[1] -> onWay[1] = true }
    :: atomic { STALE && view[o] == 2 && startEpoch[2] == belief[o] && !onWay[2] -> onWay[2] = true }
    /* A new owner repeats it under its own epoch. */
    :: atomic { ACTING && recordedAt != NONE && FENCED && startEpoch[recorded] < epoch -> startEpoch[recorded] = epoch; onWay[recorded] = true }
#ifdef NO_PROOF_OF_END
    :: atomic { ACTING && recordedAt != NONE && !FINISHED -> recordedAt = NONE; view[o] = 0 }
#else
    :: atomic { ACTING && recordedAt != NONE && RESTARTED -> recordedAt = NONE; view[o] = 0 }
    :: atomic { ACTING && recordedAt != NONE && FENCED && LEASE_PASSED && !FINISHED -> recordedAt = NONE; view[o] = 0 }
#endif
    :: atomic { ACTING && recordedAt != NONE && FINISHED -> ended = true; recordedAt = NONE; view[o] = 0 }
    :: ended || epoch == CLAIMS -> break
    od
}

inline deliver(w, a) {
    if
#ifndef NO_EPOCH_CHECK
    :: startEpoch[a] < fenced[w] -> skip
#endif
#ifndef NO_INCARNATION_CHECK
    :: startLife[a] != life[w] -> skip
#endif
#ifndef NO_ATTEMPT_CHECK
    :: a <= seen[w] -> skip
#endif
    :: else ->
        assert(!runs[1 - w]);
        assert(!ended);
        assert(runCount[a] == 0);
        runCount[a]++;
        fenced[w] = startEpoch[a];
        seen[w] = a;
        runs[w] = true;
        done[w] = false
    fi
}

proctype Worker(byte w) {
end:
    do
    :: atomic { onWay[1] && startWorker[1] == w -> deliver(w, 1) }
    :: atomic { onWay[2] && startWorker[2] == w -> deliver(w, 2) }
    /* The lease of what runs or is on its way passes. */
    :: atomic { runs[w] -> runs[w] = false }
    :: atomic { onWay[1] && startWorker[1] == w && !runs[w] -> onWay[1] = false }
    :: atomic { onWay[2] && startWorker[2] == w && !runs[w] -> onWay[2] = false }
    :: atomic { runs[w] -> runs[w] = false; done[w] = true }
    /* A restarted worker remembers nothing. */
    :: atomic { restarts < RESTARTS -> restarts++; runs[w] = false; done[w] = false; seen[w] = 0; fenced[w] = 0; life[w]++ }
    :: ended && !runs[w] && !onWay[1] && !onWay[2] -> break
    od
}

init {
    atomic {
        run Owner(0);
        run Owner(1);
        run Worker(0);
        run Worker(1)
    }
}
