package org.hickorycleat.model.identifier;

/** Name of a team in the manifest. */
public record TeamName(String value) implements Comparable<TeamName> {
    /** Creates the identifier; the value must not be blank. */
    public TeamName {
        if (value.isBlank()) {
            throw new IllegalArgumentException("team name is blank");
        }
    }

    @Override
    public int compareTo(TeamName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
