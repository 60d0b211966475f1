package org.hickorycleat.logic.supervision;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickorycleat.logic.interference.ServingLoad;
import org.hickorycleat.model.job.RunId;
import org.hickorycleat.model.job.RunSample;
import org.hickorycleat.model.job.TaskTraits;
import org.hickorycleat.model.message.InterferenceWeights;

/**
 * Chooses the share at which each image that fills may work, so that serving tasks beside it stay
 * below their target.
 *
 * <p>When a tail is too high, the images that contribute most are slowed down, in proportion to the
 * excess; shares rise again in steps, so that the lag of the measurement does not make them
 * oscillate.
 */
final class BestEffortThrottle {
    static final int FULL_PERCENT = 100;

    /** Load of a serving task above which shares are lowered; below that of its target. */
    private static final double UPPER_LOAD = 0.785;

    /** Load below which shares are raised. */
    private static final double LOWER_LOAD = 0.745;

    /** Load that a change aims at. */
    private static final double AIMED_LOAD = 0.76;

    /** Strongest reduction in one step. */
    private static final double STRONGEST_CUT = 0.25;

    /** Most by which a share rises in one step, in percent. */
    private static final int RAISE_PERCENT = 30;

    /** Least by which a share rises in one step, in percent. */
    private static final int LEAST_RAISE_PERCENT = 8;

    /** Images with at least this share of the largest contribution are slowed down. */
    private static final double CONTRIBUTION_SHARE = 0.4;

    /** Weight of an image that nothing is known of, in thousandths of a load. */
    private static final long UNKNOWN_WEIGHT = 1_000;

    /** Least weight that is reckoned with, in thousandths of a load. */
    private static final long LEAST_WEIGHT = 50;

    private static final double MILLI = 1000;

    /** Least time between two changes, in milliseconds: the worker averages over half a second. */
    private static final long CHANGE_INTERVAL_MS = 450;

    private final Map<String, Long> mWeights = new HashMap<>();
    private final Map<String, Integer> mPercents = new HashMap<>();
    private long mChangedAtMs = Long.MIN_VALUE / 2;
    private double mLoad;

    /** Takes how much images disturb the serving tasks of this worker. */
    void onWeights(List<InterferenceWeights.ImageWeight> weights) {
        weights.forEach(weight -> mWeights.put(weight.image(), weight.weightMilli()));
    }

    /**
     * Takes new measurements and returns whether a share has changed.
     *
     * @param capacityMilli processors of the worker, in thousandths
     */
    boolean update(
            Collection<RunSample> samples,
            Map<RunId, TaskTraits> traits,
            long capacityMilli,
            long nowMs) {
        mLoad = highestLoad(samples, traits);
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

    private boolean lower(Map<String, Double> contributions) {
        double largest =
                contributions.values().stream().mapToDouble(Double::doubleValue).max().orElse(0);
        Map<String, Double> causes = new HashMap<>(contributions);
        causes.values().removeIf(contribution -> contribution < CONTRIBUTION_SHARE * largest);
        double sum = causes.values().stream().mapToDouble(Double::doubleValue).sum();
        double cut = cut(sum);
        boolean changed = false;
        for (String image : causes.keySet()) {
            int before = percent(image);
            int lowered = (int) (before * cut);
            mPercents.put(image, lowered);
            changed |= lowered != before;
        }
        return changed;
    }

    private double cut(double contribution) {
        if (mLoad >= ServingLoad.SATURATION_LOAD) {
            return STRONGEST_CUT;
        }
        return Math.max(STRONGEST_CUT, 1 - (mLoad - AIMED_LOAD) / Math.max(contribution, 0.01));
    }

    private boolean raise(Map<String, Double> contributions) {
        boolean changed = !mPercents.isEmpty();
        mPercents.replaceAll(
                (image, percent) ->
                        percent + rise(percent, contributions.getOrDefault(image, 0.0)));
        mPercents.values().removeIf(percent -> percent >= FULL_PERCENT);
        return changed;
    }

    private int rise(int percent, double contribution) {
        double room = AIMED_LOAD - mLoad;
        double rise = percent * room / Math.max(contribution, 0.01);
        return (int) Math.max(LEAST_RAISE_PERCENT, Math.min(RAISE_PERCENT, rise));
    }

    // In the load that the images add at their present share.
    private Map<String, Double> contributions(
            Collection<RunSample> samples, Map<RunId, TaskTraits> traits, long capacityMilli) {
        Map<String, Double> contributions = new HashMap<>();
        for (RunSample sample : samples) {
            TaskTraits trait = traits.get(sample.run());
            if (trait != null && trait.bestEffort()) {
                long weight = mWeights.getOrDefault(trait.image(), UNKNOWN_WEIGHT);
                double used =
                        Math.max(1.0, (double) sample.measurement())
                                / Math.max(1.0, (double) capacityMilli);
                contributions.merge(
                        trait.image(), Math.max(LEAST_WEIGHT, weight) / MILLI * used, Double::sum);
            }
        }
        return contributions;
    }

    private static double highestLoad(
            Collection<RunSample> samples, Map<RunId, TaskTraits> traits) {
        double highest = 0;
        for (RunSample sample : samples) {
            TaskTraits trait = traits.get(sample.run());
            if (trait != null && trait.targetLatencyMs() > 0) {
                highest =
                        Math.max(
                                highest,
                                ServingLoad.of(sample.measurement(), trait.targetLatencyMs()));
            }
        }
        return highest;
    }

    /** Returns the highest load of a serving task at the last update. */
    double load() {
        return mLoad;
    }

    /** Returns the share of an image in percent. */
    int percent(String image) {
        return mPercents.getOrDefault(image, FULL_PERCENT);
    }

    /** Returns the reduced shares. */
    Map<String, Integer> percents() {
        return Map.copyOf(mPercents);
    }

    /** Returns the lowest share in percent. */
    int lowestPercent() {
        return mPercents.values().stream().mapToInt(Integer::intValue).min().orElse(FULL_PERCENT);
    }
}
