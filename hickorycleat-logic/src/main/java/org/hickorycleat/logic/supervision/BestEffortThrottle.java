package org.hickorycleat.logic.supervision;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickorycleat.logic.interference.LatencyCriticalLoad;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.RunSample;
import org.hickorycleat.model.job.TaskTraits;
import org.hickorycleat.model.message.InterferenceWeights;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the share at which each best-effort image may run, so that latency-critical tasks on the
 * same worker stay below their latency target.
 *
 * <p>When a tail latency is too high, the images that contribute most are throttled in proportion
 * to the excess. Shares are raised again in steps, so that the delay of the measurement does not
 * cause oscillation. Once a task has missed its target for a fifth of the time that the platform
 * allows, every image is throttled, and after a third of it, every image is stopped until all tasks
 * meet their targets again.
 */
final class BestEffortThrottle {
    static final int FULL_PERCENT = 100;

    /**
     * Load of a latency-critical task above which shares are lowered; below the load at its target.
     */
    private static final double UPPER_LOAD = 0.785;

    /** Load below which shares are raised. */
    private static final double LOWER_LOAD = 0.745;

    /** Load that each change of the shares aims for. */
    private static final double TARGET_LOAD = 0.76;

    /** Smallest factor by which a share is reduced in one step. */
    private static final double MINIMUM_CUT_FACTOR = 0.25;

    /** Largest increase of a share in one step, in percentage points. */
    private static final int MAXIMUM_RAISE_PERCENT = 30;

    /** Smallest increase of a share in one step, in percentage points. */
    private static final int MINIMUM_RAISE_PERCENT = 8;

    /** Share of the largest contribution from which an image is throttled. */
    private static final double CONTRIBUTION_SHARE = 0.4;

    /** Weight assumed for an image without an estimate, in thousandths of a load. */
    private static final long DEFAULT_WEIGHT_MILLI = 1_000;

    /** Minimum weight that is assumed for any image, in thousandths of a load. */
    private static final long MINIMUM_WEIGHT_MILLI = 50;

    private static final double MILLI = 1000;

    /**
     * Minimum time between two changes, in milliseconds; the worker averages over half a second.
     */
    private static final long CHANGE_INTERVAL_MS = 450;

    /**
     * Part of the time allowed for interference after which every image is stopped. The rest covers
     * the delays of the measurement, of two listings and of the throttling.
     */
    private static final double STOP_PART = 1.0 / 3;

    /** Part of the time allowed for interference after which every image is throttled. */
    private static final double THROTTLE_ALL_PART = 0.2;

    /** Largest factor by which shares are reduced once every image is throttled. */
    private static final double THROTTLE_ALL_FACTOR = 0.5;

    private final TargetMissTimer mMissTimer = new TargetMissTimer();
    private final long mStopAfterMs;
    private final long mThrottleAllAfterMs;
    private final Map<String, Long> mWeights = new HashMap<>();
    private final Map<String, Integer> mPercents = new HashMap<>();
    private long mChangedAtMs = Long.MIN_VALUE / 2;
    private double mLoad;
    private boolean mStopped;

    /**
     * Creates a throttle for a worker.
     *
     * @param maximumInterferenceMs maximum time that a latency-critical task may miss its target
     *     because of interference, in milliseconds
     */
    BestEffortThrottle(long maximumInterferenceMs) {
        mStopAfterMs = (long) (STOP_PART * maximumInterferenceMs);
        mThrottleAllAfterMs = (long) (THROTTLE_ALL_PART * maximumInterferenceMs);
    }

    /**
     * Updates how much each image adds to the load of the latency-critical tasks of this worker.
     */
    void updateWeights(List<InterferenceWeights.ImageWeight> weights) {
        weights.forEach(weight -> mWeights.put(weight.image(), weight.weightMilli()));
    }

    /**
     * Updates the shares from new measurements and returns whether any has changed.
     *
     * @param capacityMilli processors of the worker, in thousandths
     */
    boolean update(
            Collection<RunSample> samples,
            Map<RunId, TaskTraits> traits,
            long capacityMilli,
            long nowMs) {
        mLoad = highestLoad(samples, traits);
        mMissTimer.update(samples, traits, nowMs);
        boolean stoppedBefore = mStopped;
        mStopped = longestMissMs() >= mStopAfterMs;
        if (mStopped) {
            return stop(samples, traits, nowMs) || !stoppedBefore;
        }
        if (nowMs - mChangedAtMs < CHANGE_INTERVAL_MS) {
            return false;
        }
        Map<String, Double> contributions = contributions(samples, traits, capacityMilli);
        mPercents.keySet().retainAll(contributions.keySet());
        boolean changed = false;
        if (mLoad > UPPER_LOAD) {
            changed = lower(contributions);
        } else if (mLoad < LOWER_LOAD) {
            changed = raise(contributions);
        }
        if (changed) {
            mChangedAtMs = nowMs;
        }
        return changed;
    }

    // Images whose estimated contribution is small are stopped as well: the estimate may be wrong.
    private boolean stop(Collection<RunSample> samples, Map<RunId, TaskTraits> traits, long nowMs) {
        boolean changed = false;
        for (RunSample sample : samples) {
            TaskTraits taskTraits = traits.get(sample.run());
            if (taskTraits != null && taskTraits.bestEffort()) {
                @Nullable Integer before = mPercents.put(taskTraits.image(), 0);
                changed |= before == null || before > 0;
            }
        }
        mChangedAtMs = nowMs;
        return changed;
    }

    private boolean lower(Map<String, Double> contributions) {
        double largest =
                contributions.values().stream().mapToDouble(Double::doubleValue).max().orElse(0);
        boolean throttleAll = longestMissMs() >= mThrottleAllAfterMs;
        Map<String, Double> throttled = new HashMap<>(contributions);
        if (!throttleAll) {
            throttled
                    .values()
                    .removeIf(contribution -> contribution < CONTRIBUTION_SHARE * largest);
        }
        double sum = throttled.values().stream().mapToDouble(Double::doubleValue).sum();
        double factor =
                throttleAll ? Math.min(THROTTLE_ALL_FACTOR, cutFactor(sum)) : cutFactor(sum);
        boolean changed = false;
        for (String image : throttled.keySet()) {
            int before = percent(image);
            int reduced = (int) (before * factor);
            mPercents.put(image, reduced);
            changed |= reduced != before;
        }
        return changed;
    }

    private double cutFactor(double contribution) {
        if (mLoad >= LatencyCriticalLoad.SATURATION_LOAD) {
            return MINIMUM_CUT_FACTOR;
        }
        return Math.max(
                MINIMUM_CUT_FACTOR, 1 - (mLoad - TARGET_LOAD) / Math.max(contribution, 0.01));
    }

    private boolean raise(Map<String, Double> contributions) {
        boolean changed = !mPercents.isEmpty();
        mPercents.replaceAll(
                (image, percent) ->
                        percent + raisePercent(percent, contributions.getOrDefault(image, 0.0)));
        mPercents.values().removeIf(percent -> percent >= FULL_PERCENT);
        return changed;
    }

    private int raisePercent(int percent, double contribution) {
        double headroom = TARGET_LOAD - mLoad;
        double increase = percent * headroom / Math.max(contribution, 0.01);
        return (int) Math.max(MINIMUM_RAISE_PERCENT, Math.min(MAXIMUM_RAISE_PERCENT, increase));
    }

    // Returns the load that each image adds at its current share.
    private Map<String, Double> contributions(
            Collection<RunSample> samples, Map<RunId, TaskTraits> traits, long capacityMilli) {
        Map<String, Double> contributions = new HashMap<>();
        for (RunSample sample : samples) {
            TaskTraits taskTraits = traits.get(sample.run());
            if (taskTraits != null && taskTraits.bestEffort()) {
                long weight = mWeights.getOrDefault(taskTraits.image(), DEFAULT_WEIGHT_MILLI);
                double used =
                        Math.max(1.0, (double) sample.measurement())
                                / Math.max(1.0, (double) capacityMilli);
                contributions.merge(
                        taskTraits.image(),
                        Math.max(MINIMUM_WEIGHT_MILLI, weight) / MILLI * used,
                        Double::sum);
            }
        }
        return contributions;
    }

    private static double highestLoad(
            Collection<RunSample> samples, Map<RunId, TaskTraits> traits) {
        double highest = 0;
        for (RunSample sample : samples) {
            TaskTraits taskTraits = traits.get(sample.run());
            if (taskTraits != null && taskTraits.targetLatencyMs() > 0) {
                highest =
                        Math.max(
                                highest,
                                LatencyCriticalLoad.of(
                                        sample.measurement(), taskTraits.targetLatencyMs()));
            }
        }
        return highest;
    }

    /** Returns the highest load of a latency-critical task at the last update. */
    double load() {
        return mLoad;
    }

    /** Returns the share at which an image may run, in percent. */
    int percent(String image) {
        return mStopped ? 0 : mPercents.getOrDefault(image, FULL_PERCENT);
    }

    /** Returns the shares of the throttled images, in percent. */
    Map<String, Integer> percents() {
        return Map.copyOf(mPercents);
    }

    /** Returns the longest time for which a task has missed its target, in milliseconds. */
    long longestMissMs() {
        return mMissTimer.longestMissMs();
    }

    /** Returns the lowest share of any image, in percent. */
    int lowestPercent() {
        return mPercents.values().stream().mapToInt(Integer::intValue).min().orElse(FULL_PERCENT);
    }
}
