package org.hickorycleat.model.identifier;

/** Number of a placement shard. */
public record ShardNumber(long value) implements Comparable<ShardNumber> {
    /** Creates the identifier; the value must be at least 0. */
    public ShardNumber {
        if (value < 0) {
            throw new IllegalArgumentException("shard number is below 0: " + value);
        }
    }

    @Override
    public int compareTo(ShardNumber other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
