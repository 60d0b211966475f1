package org.hickorycleat.model.identifier;

/** Idempotency key that a caller assigns to a request that must not run twice. */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {
    /** Creates the identifier; the value must not be blank. */
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
