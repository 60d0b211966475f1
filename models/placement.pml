/*
 * Ownership of a placement shard: claims, fencing, batches that follow a newer claim, delayed start
 * commands, lease expiry and worker restarts. One task, two owners, two workers.
 *
 * The log is represented by the result of its replay. A start command stays in flight until its
 * lease has expired and may be delivered any number of times. The worker chooses when a lease
 * expires. An owner may conclude that an attempt has ended only if the worker has confirmed the
 * owner's epoch and the lease has expired, or if the worker has a new incarnation.
 *
 * By symmetry, owner 0 claims first and records its first attempt on worker 0.
 *
 * Assertions: the task never runs on two workers, no attempt runs twice, the record of an attempt
 * that may run is never overwritten, and no attempt starts once the end of the task is recorded.
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

/* Replayed state: epoch and owner of the latest valid claim, recorded attempt, end of the task. */
byte epoch = 0;
byte epochOwner = NONE;
byte recordedAttempt = 0;
byte recordedWorker = NONE;
byte recordedIncarnation = 0;
bool endRecorded = false;

/* Owners: latest epoch that each claimed, and a batch that is in flight to the log. */
byte ownEpoch[2];
byte believedAttempt[2];     /* attempt that the owner assumes to be current, 0 for none */
byte batchEpoch[2];
byte batchAttempt[2];
byte batchWorker[2];
byte batchIncarnation[2];

/* Workers: highest epoch and last attempt seen, and the state of that attempt. */
byte highestEpoch[2];
byte lastAttempt[2];
bool running[2];
bool completed[2];
byte incarnation[2];
byte restarts = 0;

/* Start command of each attempt: whether it may still arrive, and its contents. */
bool inFlight[ATTEMPTS + 1];
byte startEpoch[ATTEMPTS + 1];
byte startWorker[ATTEMPTS + 1];
byte startIncarnation[ATTEMPTS + 1];
byte runCount[ATTEMPTS + 1];

inline claim(owner) {
    epoch++;
    epochOwner = owner;
    ownEpoch[owner] = epoch;
    believedAttempt[owner] = 0
}

inline fence(owner, worker) {
    if
    :: ownEpoch[owner] >= highestEpoch[worker] -> highestEpoch[worker] = ownEpoch[owner]
    :: else -> skip
    fi
}

inline appendBatch(owner, worker) {
    batchEpoch[owner] = ownEpoch[owner];
    batchAttempt[owner] = recordedAttempt + 1;
    batchWorker[owner] = worker;
    batchIncarnation[owner] = incarnation[worker]
}

inline clearBatch(owner) {
    batchEpoch[owner] = 0;
    batchAttempt[owner] = 0;
    batchWorker[owner] = 0;
    batchIncarnation[owner] = 0
}

/* Commits a batch at its position in the log; it is invalid if a newer claim precedes it. */
inline commitBatch(owner) {
    if
#ifdef NO_VOID_BATCH
    :: true ->
#else
    :: batchEpoch[owner] == epoch ->
#endif
        assert(recordedWorker == NONE && !endRecorded);
        recordedAttempt = batchAttempt[owner];
        believedAttempt[owner] = recordedAttempt;
        recordedWorker = batchWorker[owner];
        recordedIncarnation = batchIncarnation[owner];
        inFlight[recordedAttempt] = true;
        startEpoch[recordedAttempt] = batchEpoch[owner];
        startWorker[recordedAttempt] = batchWorker[owner];
        startIncarnation[recordedAttempt] = batchIncarnation[owner]
#ifndef NO_VOID_BATCH
    :: else -> skip
#endif
    fi;
    clearBatch(owner)
}

#define IS_OWNER (ownEpoch[owner] == epoch && epochOwner == owner)
#define STALE (ownEpoch[owner] > 0 && ownEpoch[owner] < epoch)
#define EPOCH_CONFIRMED (highestEpoch[recordedWorker] == epoch)
#define LEASE_EXPIRED (!inFlight[recordedAttempt] && !running[recordedWorker])
#define RESTARTED (incarnation[recordedWorker] != recordedIncarnation)
#define FINISHED (completed[recordedWorker] && lastAttempt[recordedWorker] == recordedAttempt && !RESTARTED)

proctype Owner(byte owner) {
end:
    do
    :: atomic { epoch < CLAIMS && epochOwner != owner && !endRecorded && (epoch > 0 || owner == 0) -> claim(owner) }
    :: atomic { ownEpoch[owner] > 0 && highestEpoch[0] < ownEpoch[owner] -> fence(owner, 0) }
    :: atomic { ownEpoch[owner] > 0 && highestEpoch[1] < ownEpoch[owner] -> fence(owner, 1) }
    :: atomic { ownEpoch[owner] > 0 && batchEpoch[owner] == 0 && !endRecorded && recordedWorker == NONE && recordedAttempt < ATTEMPTS -> appendBatch(owner, 0) }
    :: atomic { ownEpoch[owner] > 0 && batchEpoch[owner] == 0 && !endRecorded && recordedWorker == NONE && recordedAttempt < ATTEMPTS && (ownEpoch[owner] > 1 || recordedAttempt > 0) -> appendBatch(owner, 1) }
    :: atomic { batchEpoch[owner] > 0 -> commitBatch(owner) }
    /* The owner that recorded an attempt retries its start command until the worker has seen it. */
    :: atomic { IS_OWNER && recordedWorker != NONE && startEpoch[recordedAttempt] == epoch && !inFlight[recordedAttempt] && lastAttempt[recordedWorker] < recordedAttempt -> inFlight[recordedAttempt] = true }
    /* A previous owner that has not noticed its replacement also retries its start commands. */
    :: atomic { STALE && believedAttempt[owner] == 1 && startEpoch[1] == ownEpoch[owner] && !inFlight[1] -> inFlight[1] = true }
    :: atomic { STALE && believedAttempt[owner] == 2 && startEpoch[2] == ownEpoch[owner] && !inFlight[2] -> inFlight[2] = true }
    /* The next owner retries the start command under its own epoch. */
    :: atomic { IS_OWNER && recordedWorker != NONE && EPOCH_CONFIRMED && startEpoch[recordedAttempt] < epoch -> startEpoch[recordedAttempt] = epoch; inFlight[recordedAttempt] = true }
#ifdef NO_PROOF_OF_END
    :: atomic { IS_OWNER && recordedWorker != NONE && !FINISHED -> recordedWorker = NONE; believedAttempt[owner] = 0 }
#else
    :: atomic { IS_OWNER && recordedWorker != NONE && RESTARTED -> recordedWorker = NONE; believedAttempt[owner] = 0 }
    :: atomic { IS_OWNER && recordedWorker != NONE && EPOCH_CONFIRMED && LEASE_EXPIRED && !FINISHED -> recordedWorker = NONE; believedAttempt[owner] = 0 }
#endif
    :: atomic { IS_OWNER && recordedWorker != NONE && FINISHED -> endRecorded = true; recordedWorker = NONE; believedAttempt[owner] = 0 }
    :: endRecorded || epoch == CLAIMS -> break
    od
}

inline deliver(worker, attempt) {
    if
#ifndef NO_EPOCH_CHECK
    :: startEpoch[attempt] < highestEpoch[worker] -> skip
#endif
#ifndef NO_INCARNATION_CHECK
    :: startIncarnation[attempt] != incarnation[worker] -> skip
#endif
#ifndef NO_ATTEMPT_CHECK
    :: attempt <= lastAttempt[worker] -> skip
#endif
    :: else ->
        assert(!running[1 - worker]);
        assert(!endRecorded);
        assert(runCount[attempt] == 0);
        runCount[attempt]++;
        highestEpoch[worker] = startEpoch[attempt];
        lastAttempt[worker] = attempt;
        running[worker] = true;
        completed[worker] = false
    fi
}

proctype Worker(byte worker) {
end:
    do
    :: atomic { inFlight[1] && startWorker[1] == worker -> deliver(worker, 1) }
    :: atomic { inFlight[2] && startWorker[2] == worker -> deliver(worker, 2) }
    /* The lease of a running attempt or of a start command in flight expires. */
    :: atomic { running[worker] -> running[worker] = false }
    :: atomic { inFlight[1] && startWorker[1] == worker && !running[worker] -> inFlight[1] = false }
    :: atomic { inFlight[2] && startWorker[2] == worker && !running[worker] -> inFlight[2] = false }
    :: atomic { running[worker] -> running[worker] = false; completed[worker] = true }
    /* A restart loses all state of the worker. */
    :: atomic { restarts < RESTARTS -> restarts++; running[worker] = false; completed[worker] = false; lastAttempt[worker] = 0; highestEpoch[worker] = 0; incarnation[worker]++ }
    :: endRecorded && !running[worker] && !inFlight[1] && !inFlight[2] -> break
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
