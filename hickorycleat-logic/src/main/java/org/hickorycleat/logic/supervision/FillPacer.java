package org.hickorycleat.logic.supervision;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.RunSample;
import org.hickorycleat.model.job.TaskTraits;

/**
 * Chooses the share at which tasks that fill may work, so that serving tasks beside them stay below
 * their target.
 *
 * <p>The share drops in proportion to the excess and rises in small steps, so that the measurement
 * lag of the tail does not make it oscillate.
 */
final class FillPacer {
    private static final int FULL_PERCENT = 100;

    /** Ratio of tail to target above which the share is lowered. */
    private static final double UPPER_RATIO = 0.85;

    /** Ratio of tail to target below which the share is raised. */
    private static final double LOWER_RATIO = 0.65;

    /** Step by which the share rises, in percent. */
    private static final int RAISE_PERCENT = 8;

    /** Strongest reduction in one step. */
    private static final double STRONGEST_CUT = 0.35;

    /** Least time between two changes, in milliseconds: the worker averages over half a second. */
    private static final long CHANGE_INTERVAL_MS = 450;

    private int mPercent = FULL_PERCENT;
    private long mChangedAtMs = Long.MIN_VALUE / 2;

    /** Takes new measurements and returns the share in percent. */
    int update(Collection<RunSample> samples, Map<RunId, TaskTraits> traits, long nowMs) {
        if (nowMs - mChangedAtMs < CHANGE_INTERVAL_MS) {
            return mPercent;
        }
        double ratio = worstRatio(samples, traits);
        int next = next(ratio);
        if (next != mPercent) {
            mPercent = next;
            mChangedAtMs = nowMs;
        }
        return mPercent;
    }

    private int next(double ratio) {
        if (ratio > UPPER_RATIO) {
            double cut = Math.max(STRONGEST_CUT, UPPER_RATIO / ratio * 0.9);
            return (int) (mPercent * cut);
        }
        if (ratio < LOWER_RATIO) {
            return Math.min(FULL_PERCENT, mPercent + RAISE_PERCENT);
        }
        return mPercent;
    }

    private static double worstRatio(Collection<RunSample> samples, Map<RunId, TaskTraits> traits) {
        double worst = 0;
        for (RunSample sample : samples) {
            TaskTraits trait = traits.get(sample.run());
            if (trait != null && trait.targetLatencyMs() > 0) {
                worst = Math.max(worst, (double) sample.measurement() / trait.targetLatencyMs());
            }
        }
        return worst;
    }

    /** Returns the shares to set: the runs that fill and do not work at the chosen share. */
    static Map<RunId, Integer> changes(
            Collection<RunSample> samples,
            Map<RunId, TaskTraits> traits,
            Map<RunId, Integer> inForce,
            int percent) {
        Map<RunId, Integer> changes = new HashMap<>();
        for (RunSample sample : samples) {
            TaskTraits trait = traits.get(sample.run());
            boolean fills = trait != null && trait.fills();
            if (fills && inForce.getOrDefault(sample.run(), FULL_PERCENT) != percent) {
                changes.put(sample.run(), percent);
            }
        }
        return changes;
    }
}
