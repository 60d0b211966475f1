package org.hickorycleat.model.job;

/**
 * How much an image that fills adds to the load of an image that serves, as an owner has learnt it.
 *
 * @param serving image of the serving tasks
 * @param filling image of the tasks that fill beside them
 * @param meanMilli load added by a share of all processors, in thousandths
 * @param varianceMilli variance of the estimate, in thousandths
 */
public record InterferenceWeight(
        String serving, String filling, long meanMilli, long varianceMilli) {}
