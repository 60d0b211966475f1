package org.hickorycleat.model.job;

/**
 * How much an image that fills adds to the load of an image that serves, as an owner has learnt it.
 *
 * @param servingImage image of the serving tasks
 * @param bestEffortImage image of the tasks that fill beside them
 * @param meanMilli load added by a share of all processors, in thousandths
 * @param varianceMilli variance of the estimate, in thousandths
 */
public record InterferenceEstimate(
        String servingImage, String bestEffortImage, long meanMilli, long varianceMilli) {}
