package org.hickorycleat.logic.places;

/** Decides whether a task waits for a place in its rack. */
@FunctionalInterface
public interface WaitPolicy {
    /** Returns the decision for a task; called again in each placement round. */
    WaitDecision decide(WaitCase waiting);

    /**
     * Returns the policy that compares expected ends.
     *
     * <p>Load pattern: most jobs of some seconds want one rack. Its queue counts, so the tasks that
     * it cannot take in time go elsewhere at once, and the others wait. No wait, counted from when
     * the task became ready, exceeds the time that the run elsewhere takes longer, so that a wrong
     * estimate costs at most as much as the start elsewhere would have.
     */
    static WaitPolicy expectedEnds() {
        return waiting -> {
            if (waiting.nearStartMs() == WorkerTimeline.NEVER) {
                return WaitDecision.NO_PLACE;
            }
            double lossMs = waiting.farDurationMs() - waiting.nearDurationMs();
            if (waiting.nearStartMs() - waiting.nowMs() > lossMs) {
                return WaitDecision.DOES_NOT_PAY;
            }
            if (waiting.nearStartMs() > waiting.readySinceMs() + lossMs) {
                return WaitDecision.LIMIT_REACHED;
            }
            // A job that would miss its objective elsewhere anyway has only the rack.
            boolean endsSlack =
                    waiting.latestFarStartMs().isPresent()
                            && waiting.latestFarStartMs().getAsLong() >= waiting.readySinceMs()
                            && waiting.nearStartMs() > waiting.latestFarStartMs().getAsLong();
            return endsSlack ? WaitDecision.NO_SLACK : WaitDecision.WAIT;
        };
    }
}
