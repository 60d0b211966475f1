package org.hickorycleat.model.identifier;

/** Key that a caller gives to a request that must not run twice. */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {
    /** Creates the identifier. */
    public IdempotencyKey {
        if (value.isBlank()) {
            throw new IllegalArgumentException("idempotency key is blank");
        }
    }

    @Override
    public int compareTo(IdempotencyKey other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
