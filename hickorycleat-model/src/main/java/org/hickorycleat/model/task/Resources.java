package org.hickorycleat.model.task;

/**
 * Amount of processor, memory and accelerators.
 *
 * @param processorsMilli thousandths of a processor core
 * @param memoryMebibytes MiB of memory
 * @param accelerators whole accelerators
 */
public record Resources(long processorsMilli, long memoryMebibytes, long accelerators) {
    /** Nothing of anything. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** Creates the amount; none may be negative. */
    public Resources {
        if (processorsMilli < 0 || memoryMebibytes < 0 || accelerators < 0) {
            throw new IllegalArgumentException("negative resources");
        }
    }

    /** Returns the sum. */
    public Resources plus(Resources other) {
        return new Resources(
                processorsMilli + other.processorsMilli,
                memoryMebibytes + other.memoryMebibytes,
                accelerators + other.accelerators);
    }

    /** Returns the difference; fails if it would be negative. */
    public Resources minus(Resources other) {
        return new Resources(
                processorsMilli - other.processorsMilli,
                memoryMebibytes - other.memoryMebibytes,
                accelerators - other.accelerators);
    }

    /** Tells whether this amount fits into the given one in every dimension. */
    public boolean fitsInto(Resources capacity) {
        return processorsMilli <= capacity.processorsMilli
                && memoryMebibytes <= capacity.memoryMebibytes
                && accelerators <= capacity.accelerators;
    }
}
