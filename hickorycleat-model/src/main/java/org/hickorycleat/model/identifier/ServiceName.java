package org.hickorycleat.model.identifier;

/** Name of a service in the manifest. */
public record ServiceName(String value) implements Comparable<ServiceName> {
    /** Creates the identifier; the value must not be blank. */
    public ServiceName {
        if (value.isBlank()) {
            throw new IllegalArgumentException("service name is blank");
        }
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
