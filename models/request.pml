/*
 * Exchange of unsafe requests between one entry and two agents.
 *
 * Agent 0 may reconnect, which opens a new session, and may restart. Messages are sets tagged with
 * the session of their connection: they may be delayed, reordered, and delivered after a newer
 * session was opened. Loss needs no step of its own, since a message need never be delivered.
 *
 * Request 0 has the attempts 0 (agent 0) and 1 (agent 1); request 1 has the attempt 2 (agent 0).
 * Request 1 only serves to detect a response that is matched to the wrong request. Only attempt 0
 * is cancelled or abandoned, which limits the state space.
 */

// MUTATION: NO_SESSION_FENCE
// MUTATION: NO_TOMBSTONE
// MUTATION: RETRY_WITHOUT_PROOF
// MUTATION: NO_INCARNATION_CHECK
// MUTATION: NO_ID_MATCH
// MUTATION: NO_SESSION_MATCH
// MUTATION: QUEUE_IGNORES_CANCEL
// MUTATION: CANCEL_BEFORE_SEND

#define ATTEMPTS 3
#define LAST_SESSION 3

#define REQUEST(attempt) (attempt / 2)
#define AGENT(attempt) (attempt % 2)

/* State of an attempt at the entry. */
#define UNUSED 0
#define PENDING 1
#define CLOSED 2

/* State of an attempt at its agent. */
#define ABSENT 0
#define QUEUED 1
#define RUNNING 2
#define ENDED 3
#define CANCELLED 4

/* Outcome that was reported to the caller of a request. */
#define WAITING 0
#define DONE 1
#define NOT_RUN 2
#define UNKNOWN 3

/* State of the agents; agent 1 stays in its session 1. */
byte session[2];
byte incarnation[2];
byte agentState[ATTEMPTS];
byte responseSession[ATTEMPTS];
byte runCount[2];
bool restarted;

/* Incarnation of the agent that opened each session. */
byte sessionIncarnation[4];

/* Messages in flight: the session of the connection that carries them, or 0. */
byte invokeSession[ATTEMPTS];
byte cancelSession[ATTEMPTS];
byte resultSession[ATTEMPTS];
byte notRunSession[ATTEMPTS];
bool helloInFlight;

/* State of the entry. */
byte knownSession[2];
byte attemptState[ATTEMPTS];
byte attemptSession[ATTEMPTS];
bool sent[ATTEMPTS];
byte reportedOutcome[2];

#define OUTSTANDING(attempt) (attemptState[attempt] == PENDING)

#ifdef NO_SESSION_FENCE
#define NOT_FENCED(attempt) true
#else
#define NOT_FENCED(attempt) (invokeSession[attempt] == session[AGENT(attempt)])
#endif

/*
 * An attempt is cancelled only after it was sent. Otherwise the proof of an old incarnation that the
 * attempt was not run no longer holds once the attempt is sent to a new incarnation.
 */
#ifdef CANCEL_BEFORE_SEND
#define MAY_CANCEL(attempt) (attempt == 0)
#else
#define MAY_CANCEL(attempt) (sent[attempt] && attempt == 0)
#endif

#ifdef NO_SESSION_MATCH
#define IS_EXPECTED_SESSION(attempt, carrier) true
#else
#define IS_EXPECTED_SESSION(attempt, carrier) (attemptSession[attempt] == carrier)
#endif

#ifdef NO_INCARNATION_CHECK
#define SAME_INCARNATION(attempt) true
#else
#define SAME_INCARNATION(attempt) (sessionIncarnation[attemptSession[attempt]] == incarnation[0])
#endif

inline reportOutcome(request, outcome) {
  if
  :: reportedOutcome[request] == WAITING ->
    assert(outcome != NOT_RUN || runCount[request] == 0);
    assert(outcome != DONE || runCount[request] == 1);
    reportedOutcome[request] = outcome
  :: else
  fi
}

inline register(attempt) {
  attemptState[attempt] = PENDING;
  attemptSession[attempt] = knownSession[AGENT(attempt)]
}

inline closeAttempt(attempt) {
  attemptState[attempt] = CLOSED;
  attemptSession[attempt] = 0
}

/* Handles a proof that the attempt was not run; without the guards, the proof may be wrong. */
inline handleNotRunProof(attempt) {
  closeAttempt(attempt);
  if
  :: attempt == 0 && reportedOutcome[0] == WAITING -> register(1)
  :: reportOutcome(REQUEST(attempt), NOT_RUN)
  fi
}

/* Notifies the entry of the latest session of agent 0. */
inline onSessionOpened() {
  helloInFlight = false;
  knownSession[0] = session[0];
  for (i : 0 .. 2) {
    if
    :: AGENT(i) == 0 && OUTSTANDING(i) ->
      if
      :: !SAME_INCARNATION(i) ->
        closeAttempt(i);
        reportOutcome(REQUEST(i), UNKNOWN)
#ifdef RETRY_WITHOUT_PROOF
      :: true -> handleNotRunProof(i)
#endif
      :: SAME_INCARNATION(i) ->
        attemptSession[i] = knownSession[0];
        /* An attempt that is not sent yet is cancelled only after it has been sent. */
        if
        :: MAY_CANCEL(i) -> cancelSession[i] = knownSession[0]
        :: else
        fi
      fi
    :: else
    fi
  }
}

/* Opens a session at the agent, which fences the previous one before the entry is notified. */
inline reconnect() {
  session[0]++;
  sessionIncarnation[session[0]] = incarnation[0];
  helloInFlight = true;
  for (i : 0 .. 2) {
    if
    :: AGENT(i) == 0 && agentState[i] == QUEUED -> agentState[i] = CANCELLED
    :: else
    fi
  }
}

inline restart() {
  restarted = true;
  incarnation[0]++;
  for (i : 0 .. 2) {
    if
    :: AGENT(i) == 0 ->
      agentState[i] = ABSENT;
      /* Messages in flight to the killed process are lost with its connections. */
      invokeSession[i] = 0;
      cancelSession[i] = 0
    :: else
    fi
  };
  reconnect()
}

inline receiveInvoke(attempt) {
  if
  :: agentState[attempt] == ABSENT && NOT_FENCED(attempt) ->
    agentState[attempt] = QUEUED;
    responseSession[attempt] = invokeSession[attempt]
  :: else
  fi;
  invokeSession[attempt] = 0
}

inline receiveCancel(attempt) {
  if
  :: agentState[attempt] == ABSENT || agentState[attempt] == QUEUED || agentState[attempt] == CANCELLED ->
#ifdef NO_TOMBSTONE
    agentState[attempt] = ABSENT;
#else
#ifdef QUEUE_IGNORES_CANCEL
    if
    :: agentState[attempt] == ABSENT -> agentState[attempt] = CANCELLED
    :: else
    fi;
#else
    agentState[attempt] = CANCELLED;
#endif
#endif
    notRunSession[attempt] = cancelSession[attempt]
  :: agentState[attempt] == RUNNING -> responseSession[attempt] = cancelSession[attempt]
  :: agentState[attempt] == ENDED -> resultSession[attempt] = cancelSession[attempt]
  fi;
  cancelSession[attempt] = 0
}

inline start(attempt) {
  agentState[attempt] = RUNNING;
  assert(runCount[REQUEST(attempt)] == 0);
  assert(reportedOutcome[REQUEST(attempt)] != NOT_RUN);
  runCount[REQUEST(attempt)]++
}

/* Delivers the result of an attempt to the entry, which assigns it to the attempt "matched". */
inline receiveResult(attempt, matched) {
  if
  :: OUTSTANDING(matched) && IS_EXPECTED_SESSION(matched, resultSession[attempt]) ->
    assert(REQUEST(matched) == REQUEST(attempt));
    closeAttempt(matched);
    reportOutcome(REQUEST(matched), DONE)
  :: else
  fi;
  resultSession[attempt] = 0
}

inline receiveNotRun(attempt) {
  if
  :: OUTSTANDING(attempt) && IS_EXPECTED_SESSION(attempt, notRunSession[attempt]) -> handleNotRunProof(attempt)
  :: else
  fi;
  notRunSession[attempt] = 0
}

/* A tombstone may be removed once no message of its own session can still arrive. */
#define MAY_REMOVE_TOMBSTONE(attempt) (agentState[attempt] == CANCELLED && sent[attempt] && \
  invokeSession[attempt] != session[AGENT(attempt)])

active proctype exchange() {
  byte i;
  byte a;
  atomic {
    session[0] = 1;
    session[1] = 1;
    knownSession[0] = 1;
    knownSession[1] = 1;
    register(0);
    register(2)
  };
  do
  :: atomic {
      select(a : 0 .. 2);
      if
      /*
       * The attempt is sent some time after it was registered and may be closed before that. The
       * transport uses its latest connection, which the coordinator may not know yet.
       */
      :: attemptState[a] != UNUSED && !sent[a] ->
        sent[a] = true;
        invokeSession[a] = session[AGENT(a)]
      /* Shortly before the deadline, the entry cancels the attempt in case it is still queued. */
      :: OUTSTANDING(a) && MAY_CANCEL(a) && cancelSession[a] == 0 -> cancelSession[a] = session[AGENT(a)]
      :: OUTSTANDING(a) && a == 0 ->
        closeAttempt(a);
        reportOutcome(REQUEST(a), UNKNOWN)
      :: invokeSession[a] != 0 -> receiveInvoke(a)
      :: cancelSession[a] != 0 -> receiveCancel(a)
      :: agentState[a] == QUEUED -> start(a)
      :: agentState[a] == RUNNING ->
        agentState[a] = ENDED;
        resultSession[a] = responseSession[a];
        responseSession[a] = 0
      :: resultSession[a] != 0 -> receiveResult(a, a)
#ifdef NO_ID_MATCH
      :: resultSession[a] != 0 && a == 0 -> receiveResult(a, 2)
#endif
      :: notRunSession[a] != 0 -> receiveNotRun(a)
      :: MAY_REMOVE_TOMBSTONE(a) -> agentState[a] = ABSENT
      :: else
      fi
    }
  :: atomic { session[0] < LAST_SESSION -> reconnect() }
  :: atomic { session[0] < LAST_SESSION && !restarted -> restart() }
  :: atomic { helloInFlight -> onSessionOpened() }
  od
}
