package org.hickorycleat.logic.interference;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.hickorycleat.model.identifier.JobName;
import org.hickorycleat.model.identifier.ServiceName;

/**
 * Estimates which jobs slow down which services.
 *
 * <p>The logarithm of a latency is modelled as the baseline of the service plus one effect for each
 * colocated job, all normally distributed. A measurement corrects each of them in proportion to its
 * variance, so that a well-known pair changes little and an unknown one much. The baseline follows
 * load shifts, which reach all instances, faster than the effects do. Not safe for use by several
 * threads.
 */
public final class InterferenceModel {
    private static final double PRIOR_VARIANCE = 0.25;
    private static final double NOISE_VARIANCE = 0.04;

    /**
     * Noise variance for the effects. The noise of successive measurements is correlated, so
     * several of them count as one, and the estimate ignores that errors of the baseline and of an
     * effect offset each other. With the plain noise variance, correlated noise alone makes pairs
     * look harmful.
     */
    private static final double EFFECT_NOISE_VARIANCE = 4 * NOISE_VARIANCE;

    /** Growth of the variance of the baseline per measurement; lets it follow load shifts. */
    private static final double BASELINE_VARIANCE_GROWTH = 0.0004;

    /**
     * Growth of the variance of an effect per measurement; lets the estimate follow a changed job.
     */
    private static final double EFFECT_VARIANCE_GROWTH = 0.000_01;

    /** Larger errors are clipped to this many standard deviations, as latencies have long tails. */
    private static final double MAXIMUM_ERROR_DEVIATIONS = 2.5;

    /** Number of pairs kept for each service; bounds the memory of an owner. */
    private static final int MAXIMUM_PAIRS = 2_000;

    /** A pair is harmful if the lower bound of its slowdown exceeds this value. */
    private static final double HARMFUL_SLOWDOWN = Math.log(1.05);

    private static final double HARMFUL_CONFIDENCE_DEVIATIONS = 1;

    private final Map<ServiceName, ServiceEffects> mServices = new HashMap<>();
    private final Map<JobName, Set<ServiceName>> mSlowedServices = new HashMap<>();

    private static final class Effect {
        private double mMean;
        private double mVariance = PRIOR_VARIANCE;

        SlowdownEstimate estimate() {
            return new SlowdownEstimate(mMean, Math.sqrt(mVariance));
        }

        void correct(double error, double gain, double share) {
            mMean += gain * error;
            mVariance -= gain * share * mVariance;
        }
    }

    private static final class ServiceEffects {
        private final Effect mBaseline = new Effect();
        private boolean mHasBaseline;
        private final Map<JobName, Effect> mEffects =
                new LinkedHashMap<>(16, 0.75f, true) {
                    @Override
                    protected boolean removeEldestEntry(Map.Entry<JobName, Effect> eldest) {
                        return size() > MAXIMUM_PAIRS;
                    }
                };

        Effect effect(JobName job) {
            return mEffects.computeIfAbsent(job, key -> new Effect());
        }
    }

    /** Updates the estimates from a measurement and the jobs colocated at its time. */
    public void learn(ServiceName service, double latencyMs, Collection<Neighbour> neighbours) {
        if (latencyMs <= 0) {
            return;
        }
        ServiceEffects record = mServices.computeIfAbsent(service, key -> new ServiceEffects());
        double value = Math.log(latencyMs);
        if (!record.mHasBaseline) {
            record.mHasBaseline = true;
            record.mBaseline.mMean = value;
        }
        Map<JobName, Double> shares = totalShares(neighbours);
        update(record, value, shares);
        for (JobName job : shares.keySet()) {
            classify(service, job, record.effect(job).estimate());
        }
    }

    private void classify(ServiceName service, JobName job, SlowdownEstimate estimate) {
        if (estimate.lowerBound(HARMFUL_CONFIDENCE_DEVIATIONS) > HARMFUL_SLOWDOWN) {
            mSlowedServices.computeIfAbsent(job, key -> new HashSet<>()).add(service);
            return;
        }
        mSlowedServices.computeIfPresent(
                job,
                (key, services) -> {
                    services.remove(service);
                    return services.isEmpty() ? null : services;
                });
    }

    private static Map<JobName, Double> totalShares(Collection<Neighbour> neighbours) {
        Map<JobName, Double> shares = new HashMap<>();
        for (Neighbour neighbour : neighbours) {
            shares.merge(neighbour.job(), neighbour.share(), Double::sum);
        }
        return shares;
    }

    private static void update(ServiceEffects record, double value, Map<JobName, Double> shares) {
        record.mBaseline.mVariance += BASELINE_VARIANCE_GROWTH;
        double expectedValue = record.mBaseline.mMean;
        double variance = record.mBaseline.mVariance + NOISE_VARIANCE;
        for (Map.Entry<JobName, Double> entry : shares.entrySet()) {
            Effect effect = record.effect(entry.getKey());
            double share = entry.getValue();
            effect.mVariance = Math.min(PRIOR_VARIANCE, effect.mVariance + EFFECT_VARIANCE_GROWTH);
            expectedValue += share * effect.mMean;
            variance += share * share * effect.mVariance;
        }
        double errorLimit = MAXIMUM_ERROR_DEVIATIONS * Math.sqrt(variance);
        double error = Math.max(-errorLimit, Math.min(errorLimit, value - expectedValue));
        record.mBaseline.correct(error, record.mBaseline.mVariance / variance, 1);
        for (Map.Entry<JobName, Double> entry : shares.entrySet()) {
            Effect effect = record.effect(entry.getKey());
            double share = entry.getValue();
            double effectErrorVariance = variance - NOISE_VARIANCE + EFFECT_NOISE_VARIANCE;
            effect.correct(error, share * effect.mVariance / effectErrorVariance, share);
        }
    }

    /** Returns the estimate for a pair, or the prior if the pair is unknown. */
    public SlowdownEstimate estimate(ServiceName service, JobName job) {
        ServiceEffects record = mServices.get(service);
        Effect effect = record == null ? null : record.mEffects.get(job);
        return effect == null
                ? new SlowdownEstimate(0, Math.sqrt(PRIOR_VARIANCE))
                : effect.estimate();
    }

    /** Returns the services that a job slows down with high probability. */
    public Set<ServiceName> servicesSlowedBy(JobName job) {
        return Collections.unmodifiableSet(mSlowedServices.getOrDefault(job, Set.of()));
    }

    /** Returns whether any pair is harmful, so that callers can skip the look-ups. */
    public boolean hasHarmfulPairs() {
        return !mSlowedServices.isEmpty();
    }
}
