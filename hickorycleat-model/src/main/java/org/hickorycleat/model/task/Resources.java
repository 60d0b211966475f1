package org.hickorycleat.model.task;

/**
 * Amounts of processors, memory and accelerators.
 *
 * @param processorsMilli processor cores, in thousandths
 * @param memoryMebibytes memory, in MiB
 * @param accelerators number of accelerators
 */
public record Resources(long processorsMilli, long memoryMebibytes, long accelerators) {
    /** Zero of every resource. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** Creates the amounts; none may be negative. */
    public Resources {
        if (processorsMilli < 0 || memoryMebibytes < 0 || accelerators < 0) {
            throw new IllegalArgumentException("resource amounts must not be negative");
        }
    }

    /** Returns whether sums of many such amounts cannot overflow. */
    public boolean isInRange() {
        return processorsMilli <= Integer.MAX_VALUE
                && memoryMebibytes <= Integer.MAX_VALUE
                && accelerators <= Integer.MAX_VALUE;
    }

    /** Returns the sum of both amounts. */
    public Resources plus(Resources other) {
        return new Resources(
                processorsMilli + other.processorsMilli,
                memoryMebibytes + other.memoryMebibytes,
                accelerators + other.accelerators);
    }

    /** Returns the difference; throws {@link IllegalArgumentException} if any part is negative. */
    public Resources minus(Resources other) {
        return new Resources(
                processorsMilli - other.processorsMilli,
                memoryMebibytes - other.memoryMebibytes,
                accelerators - other.accelerators);
    }

    /** Returns whether this amount fits into the given capacity in every dimension. */
    public boolean fitsInto(Resources capacity) {
        return processorsMilli <= capacity.processorsMilli
                && memoryMebibytes <= capacity.memoryMebibytes
                && accelerators <= capacity.accelerators;
    }
}
