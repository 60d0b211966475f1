/*
 * A cancellation across changes of owner and restarts of the agent. One job with one run.
 *
 * The cancellation is durable before it is acknowledged. The request to stop the run is in the memory of
 * an owner, which sends it whenever the agent is connected and its listing has the run. Owner and agent
 * may end after each step; the run itself ends only by a stop.
 *
 * Assertion: once nothing more happens, the run of the cancelled job has been stopped.
 */
// MUTATION: NO_STOP_AFTER_RESTORE
// MUTATION: NO_STOP_RETRY

#define CRASHES 2

bool cancelled = false;      /* durable */
bool running = true;
bool stopRequested = false;  /* memory of the owner */
bool ownerUp = true;
bool agentUp = true;
bool stopInFlight = false;
bool stopSent = false;
byte ownerCrashes = 0;
byte agentCrashes = 0;

active proctype Fleet() {
    do
    :: atomic { ownerUp && !cancelled -> cancelled = true; stopRequested = true }
    :: atomic { ownerUp && ownerCrashes < CRASHES -> ownerCrashes++; ownerUp = false; stopRequested = false; stopSent = false }
    :: atomic { !ownerUp -> ownerUp = true;
#ifdef NO_STOP_AFTER_RESTORE
           skip
#else
           stopRequested = cancelled
#endif
       }
    :: atomic { agentUp && agentCrashes < CRASHES -> agentCrashes++; agentUp = false; stopInFlight = false }
    :: atomic { !agentUp -> agentUp = true }
#ifdef NO_STOP_RETRY
    :: atomic { ownerUp && stopRequested && running && !stopInFlight && !stopSent -> stopSent = true; stopInFlight = agentUp }
#else
    :: atomic { ownerUp && agentUp && stopRequested && running && !stopInFlight -> stopInFlight = true }
#endif
    :: atomic { stopInFlight && agentUp -> stopInFlight = false; running = false }
    :: atomic { ownerUp && agentUp && !stopInFlight && cancelled && (!running || !stopRequested || stopSent) -> assert(!running); break }
    od
}
