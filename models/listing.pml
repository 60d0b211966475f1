/*
 * What an agent may conclude from the listings of its worker: two listings in flight whose responses
 * overtake each other, a start without a response that is executed late, and ends that a full page cuts
 * off. One run.
 *
 * The agent concludes that the run is over without an end, after which its task starts again, if the
 * run is neither pending nor in the newest listing.
 *
 * Assertions: at the conclusion the run is neither running nor ended, and it never starts afterwards.
 */
// MUTATION: NO_LISTING_ORDER
// MUTATION: NO_COMPLETENESS
// MUTATION: NO_FENCE

#define CLOCK_END 4
#define LISTINGS 3

mtype = { NOT_STARTED, RUNNING, ENDED };
mtype = { FREE, SENT, MADE };

/* Worker: state of the run, highest token seen, clock, and whether a page has no room for its end. */
mtype runState = NOT_STARTED;
byte workerToken = 0;
byte clock = 1;
bool pageFull = true;

/* Agent: the start that is pending, its token, and the newest listing. */
bool startSent = false;
bool startInFlight = false;
bool startUnanswered = false;
bool pending = false;
byte token = 1;
byte startToken = 0;
byte applied = 0;
byte newestClock = 0;
bool listed = false;
bool complete = false;
bool concluded = false;

/* Listings in flight. */
mtype state[2] = FREE;
byte sentToken[2];
byte position[2];
byte madeClock[2];
bool madeListed[2];
bool madeComplete[2];

inline makeListing(slot) {
    if
    :: sentToken[slot] < workerToken -> state[slot] = FREE
    :: else ->
        workerToken = sentToken[slot];
        madeClock[slot] = clock;
        madeListed[slot] = runState == RUNNING || (runState == ENDED && !pageFull);
        madeComplete[slot] = !pageFull;
        state[slot] = MADE
    fi
}

inline applyListing(slot) {
    if
#ifdef NO_LISTING_ORDER
    :: true ->
#else
    :: position[slot] == applied || madeClock[slot] > newestClock ->
#endif
        applied++;
        newestClock = madeClock[slot];
        listed = madeListed[slot];
#ifdef NO_COMPLETENESS
        complete = true;
#else
        complete = madeComplete[slot];
#endif
        if
        :: listed -> pending = false
#ifdef NO_FENCE
        :: !listed && complete && startUnanswered -> pending = false
#else
        :: !listed && complete && startUnanswered && sentToken[slot] > startToken -> pending = false
#endif
        :: else -> skip
        fi
#ifndef NO_LISTING_ORDER
    :: else -> skip
#endif
    fi;
    state[slot] = FREE
}

active proctype Worker() {
end:
    do
    :: atomic { startInFlight && startToken >= workerToken && runState == NOT_STARTED ->
           assert(!concluded); workerToken = startToken; runState = RUNNING; startInFlight = false }
    :: atomic { startInFlight && startToken < workerToken -> startInFlight = false }
    :: atomic { runState == RUNNING -> runState = ENDED }
    /* Ends of other runs are acknowledged or added. */
    :: atomic { pageFull -> pageFull = false }
    :: atomic { !pageFull && runState != ENDED -> pageFull = true }
    /* Several events may share one reading of the clock. */
    :: atomic { clock < CLOCK_END -> clock++ }
    :: atomic { state[0] == SENT -> makeListing(0) }
    :: atomic { state[1] == SENT -> makeListing(1) }
    od
}

active proctype Agent() {
end:
    do
    :: atomic { !startSent -> startSent = true; startInFlight = true; pending = true; startToken = token }
    /* The worker may still execute the start. */
    :: atomic { pending && !startUnanswered && token == 1 -> startUnanswered = true; token = 2 }
    :: atomic { state[0] == FREE && applied < LISTINGS -> state[0] = SENT; sentToken[0] = token; position[0] = applied }
    :: atomic { state[1] == FREE && applied < LISTINGS -> state[1] = SENT; sentToken[1] = token; position[1] = applied }
    :: atomic { state[0] == MADE -> applyListing(0) }
    :: atomic { state[1] == MADE -> applyListing(1) }
    :: atomic { startSent && !pending && !listed && complete && !concluded ->
           concluded = true; assert(runState == NOT_STARTED) }
    od
}
