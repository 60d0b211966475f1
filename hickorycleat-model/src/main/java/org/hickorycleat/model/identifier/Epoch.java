package org.hickorycleat.model.identifier;

/** Fencing token of a placement shard: the log offset of the claim of its owner. */
public record Epoch(long value) implements Comparable<Epoch> {
    /** Creates the identifier. */
    public Epoch {
        if (value < -1) {
            throw new IllegalArgumentException("epoch is below -1: " + value);
        }
    }

    @Override
    public int compareTo(Epoch other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
