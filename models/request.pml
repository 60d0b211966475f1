/*
 * Exchange of unsafe requests between one entry and two agents.
 *
 * Agent 0 may dial again, which opens a session, and may restart. Messages are sets tagged with the
 * session of their connection: they may be late, overtake each other, and arrive after a newer
 * session was opened. Loss needs no step, since a message need never be taken.
 *
 * Request 0 has the attempts 0 (agent 0) and 1 (agent 1); request 1 has the attempt 2 (agent 0).
 * Request 1 only shows whose answer is whose. Only attempt 0 is cancelled or given up, which keeps
 * the search small.
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
#define OPEN 1
#define SETTLED 2

/* What an agent knows of an attempt. */
#define NOTHING 0
#define QUEUED 1
#define RUNNING 2
#define ENDED 3
#define CANCELLED 4

/* What the caller of a request was told. */
#define WAITING 0
#define DONE 1
#define NOT_RUN 2
#define UNKNOWN 3

/* Agent side; agent 1 stays in its session 1. */
byte session[2];
byte incarnation[2];
byte record[ATTEMPTS];
byte replySession[ATTEMPTS];
byte runs[2];
bool restarted;

/* Incarnation of the agent that opened each session. */
byte openedBy[4];

/* Messages under way: the session of the connection that carries them, or 0. */
byte invokeOn[ATTEMPTS];
byte cancelOn[ATTEMPTS];
byte resultOn[ATTEMPTS];
byte notRunOn[ATTEMPTS];
bool hello;

/* Entry side. */
byte seen[2];
byte attemptState[ATTEMPTS];
byte attemptSession[ATTEMPTS];
bool sent[ATTEMPTS];
byte told[2];

#define OUTSTANDING(attempt) (attemptState[attempt] == OPEN)

#ifdef NO_SESSION_FENCE
#define NOT_FENCED(attempt) true
#else
#define NOT_FENCED(attempt) (invokeOn[attempt] == session[AGENT(attempt)])
#endif

/* Otherwise an old incarnation proves what a new one, to which the attempt is sent, disproves. */
#ifdef CANCEL_BEFORE_SEND
#define MAY_CANCEL(attempt) (attempt == 0)
#else
#define MAY_CANCEL(attempt) (sent[attempt] && attempt == 0)
#endif

#ifdef NO_SESSION_MATCH
#define EXPECTED_ON(attempt, on) true
#else
#define EXPECTED_ON(attempt, on) (attemptSession[attempt] == on)
#endif

#ifdef NO_INCARNATION_CHECK
#define SAME_INCARNATION(attempt) true
#else
#define SAME_INCARNATION(attempt) (openedBy[attemptSession[attempt]] == incarnation[0])
#endif

inline tell(request, outcome) {
  if
  :: told[request] == WAITING ->
    assert(outcome != NOT_RUN || runs[request] == 0);
    assert(outcome != DONE || runs[request] == 1);
    told[request] = outcome
  :: else
  fi
}

inline register(attempt) {
  attemptState[attempt] = OPEN;
  attemptSession[attempt] = seen[AGENT(attempt)]
}

inline settle(attempt) {
  attemptState[attempt] = SETTLED;
  attemptSession[attempt] = 0
}

/* The entry holds a proof that the attempt was not run, or wrongly believes so. */
inline provenNotRun(attempt) {
  settle(attempt);
  if
  :: attempt == 0 && told[0] == WAITING -> register(1)
  :: tell(REQUEST(attempt), NOT_RUN)
  fi
}

/* The entry learns of the newest session of agent 0. */
inline linkOpened() {
  hello = false;
  seen[0] = session[0];
  for (i : 0 .. 2) {
    if
    :: AGENT(i) == 0 && OUTSTANDING(i) ->
      if
      :: !SAME_INCARNATION(i) ->
        settle(i);
        tell(REQUEST(i), UNKNOWN)
#ifdef RETRY_WITHOUT_PROOF
      :: true -> provenNotRun(i)
#endif
      :: SAME_INCARNATION(i) ->
        attemptSession[i] = seen[0];
        /* An attempt that is not yet sent is asked about after that. */
        if
        :: MAY_CANCEL(i) -> cancelOn[i] = seen[0]
        :: else
        fi
      fi
    :: else
    fi
  }
}

/* A session opens at the agent: it fences the older one before the entry hears of it. */
inline dial() {
  session[0]++;
  openedBy[session[0]] = incarnation[0];
  hello = true;
  for (i : 0 .. 2) {
    if
    :: AGENT(i) == 0 && record[i] == QUEUED -> record[i] = CANCELLED
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
      record[i] = NOTHING;
      /* The connections of the killed process are gone with all that they carried to it. */
      invokeOn[i] = 0;
      cancelOn[i] = 0
    :: else
    fi
  };
  dial()
}

inline takeInvoke(attempt) {
  if
  :: record[attempt] == NOTHING && NOT_FENCED(attempt) ->
    record[attempt] = QUEUED;
    replySession[attempt] = invokeOn[attempt]
  :: else
  fi;
  invokeOn[attempt] = 0
}

inline takeCancel(attempt) {
  if
  :: record[attempt] == NOTHING || record[attempt] == QUEUED || record[attempt] == CANCELLED ->
#ifdef NO_TOMBSTONE
    record[attempt] = NOTHING;
#else
#ifdef QUEUE_IGNORES_CANCEL
    if
    :: record[attempt] == NOTHING -> record[attempt] = CANCELLED
    :: else
    fi;
#else
    record[attempt] = CANCELLED;
#endif
#endif
    notRunOn[attempt] = cancelOn[attempt]
  :: record[attempt] == RUNNING -> replySession[attempt] = cancelOn[attempt]
  :: record[attempt] == ENDED -> resultOn[attempt] = cancelOn[attempt]
  fi;
  cancelOn[attempt] = 0
}

inline start(attempt) {
  record[attempt] = RUNNING;
  assert(runs[REQUEST(attempt)] == 0);
  assert(told[REQUEST(attempt)] != NOT_RUN);
  runs[REQUEST(attempt)]++
}

/* The answer of one attempt reaches the entry, which gives it to the attempt "matched". */
inline takeResult(attempt, matched) {
  if
  :: OUTSTANDING(matched) && EXPECTED_ON(matched, resultOn[attempt]) ->
    assert(REQUEST(matched) == REQUEST(attempt));
    settle(matched);
    tell(REQUEST(matched), DONE)
  :: else
  fi;
  resultOn[attempt] = 0
}

inline takeNotRun(attempt) {
  if
  :: OUTSTANDING(attempt) && EXPECTED_ON(attempt, notRunOn[attempt]) -> provenNotRun(attempt)
  :: else
  fi;
  notRunOn[attempt] = 0
}

/* A tombstone may be dropped once nothing of its own session can still arrive. */
#define FORGETTABLE(attempt) (record[attempt] == CANCELLED && sent[attempt] && \
  invokeOn[attempt] != session[AGENT(attempt)])

active proctype exchange() {
  byte i;
  byte a;
  atomic {
    session[0] = 1;
    session[1] = 1;
    seen[0] = 1;
    seen[1] = 1;
    register(0);
    register(2)
  };
  do
  :: atomic {
      select(a : 0 .. 2);
      if
      /*
       * The attempt is sent some time after it was registered, and may be settled before. The
       * transport uses its newest connection, which the coordinator may not know yet.
       */
      :: attemptState[a] != UNUSED && !sent[a] ->
        sent[a] = true;
        invokeOn[a] = session[AGENT(a)]
      /* Shortly before the deadline, the entry asks whether the request still waits. */
      :: OUTSTANDING(a) && MAY_CANCEL(a) && cancelOn[a] == 0 -> cancelOn[a] = session[AGENT(a)]
      :: OUTSTANDING(a) && a == 0 ->
        settle(a);
        tell(REQUEST(a), UNKNOWN)
      :: invokeOn[a] != 0 -> takeInvoke(a)
      :: cancelOn[a] != 0 -> takeCancel(a)
      :: record[a] == QUEUED -> start(a)
      :: record[a] == RUNNING ->
        record[a] = ENDED;
        resultOn[a] = replySession[a];
        replySession[a] = 0
      :: resultOn[a] != 0 -> takeResult(a, a)
#ifdef NO_ID_MATCH
      :: resultOn[a] != 0 && a == 0 -> takeResult(a, 2)
#endif
      :: notRunOn[a] != 0 -> takeNotRun(a)
      :: FORGETTABLE(a) -> record[a] = NOTHING
      :: else
      fi
    }
  :: atomic { session[0] < LAST_SESSION -> dial() }
  :: atomic { session[0] < LAST_SESSION && !restarted -> restart() }
  :: atomic { hello -> linkOpened() }
  od
}
