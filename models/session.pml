/*
 * Commands of one owner to one agent on two links: what is sent on a link that was replaced may arrive
 * after the messages on the link that replaced it. Each link opens a session. One run of one task.
 *
 * The owner concludes that the run does not exist, after which its task starts elsewhere, if a report of
 * a later session than that of its start omits it, or a report of the same session that reflects the
 * start.
 *
 * Assertions: the run does not exist at the conclusion, and never starts afterwards.
 */
// MUTATION: NO_SESSION_CHECK
// MUTATION: NO_REPORT_SESSION

#define SESSIONS 2

/* Owner: current session, session and command number of the start, and its conclusion. */
byte session = 1;
byte startSession = 0;
byte startNumber = 0;
bool concluded = false;

/* Agent: adopted session, number of the last command of it, and whether the run exists. */
byte adopted = 0;
byte lastNumber = 0;
bool present = false;

/* A link carries an announcement, then at most one start; links deliver independently. */
bool announced[SESSIONS + 1];
bool startInFlight[SESSIONS + 1];

/* A report in flight. */
bool reportInFlight = false;
byte reportSession = 0;
byte reportNumber = 0;
bool reportListed = false;

inline receiveStart(link) {
    startInFlight[link] = false;
    if
#ifdef NO_SESSION_CHECK
    :: true ->
#else
    :: link == adopted ->
#endif
        assert(!concluded);
        present = true;
        lastNumber = startNumber
#ifndef NO_SESSION_CHECK
    :: else -> skip
#endif
    fi
}

active proctype Owner() {
    announced[1] = true;
end:
    do
    :: atomic { startSession == 0 -> startSession = session; startNumber = 1; startInFlight[session] = true }
    :: atomic { session < SESSIONS -> session++; announced[session] = true }
    :: atomic { reportInFlight ->
           reportInFlight = false;
           if
#ifdef NO_REPORT_SESSION
           :: startSession > 0 && !reportListed && (startSession != session || startNumber <= reportNumber) ->
#else
           :: startSession > 0 && reportSession == session && !reportListed &&
                  (startSession != session || startNumber <= reportNumber) ->
#endif
                  assert(!present);
                  concluded = true
           :: else -> skip
           fi }
    od
}

active proctype Agent() {
end:
    do
    /* The announcement precedes the start on its link; that of an earlier session is ignored. */
    :: atomic { announced[1] -> announced[1] = false; if :: adopted < 1 -> adopted = 1; lastNumber = 0 :: else -> skip fi }
    :: atomic { announced[2] -> announced[2] = false; if :: adopted < 2 -> adopted = 2; lastNumber = 0 :: else -> skip fi }
    :: atomic { startInFlight[1] && !announced[1] -> receiveStart(1) }
    :: atomic { startInFlight[2] && !announced[2] -> receiveStart(2) }
    :: atomic { adopted > 0 && !reportInFlight ->
           reportInFlight = true; reportSession = adopted; reportNumber = lastNumber; reportListed = present }
    od
}
