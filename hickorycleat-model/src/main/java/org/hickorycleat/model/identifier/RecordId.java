package org.hickorycleat.model.identifier;

/**
 * Identity of a record that a process appends; duplicates of a record have the same identity.
 *
 * @param writer process that appends the record
 * @param incarnation incarnation of the writer
 * @param sequence number of the record within the incarnation; increases with each record
 */
public record RecordId(ProcessId writer, Incarnation incarnation, long sequence) {
    @Override
    public String toString() {
        return writer + "/" + incarnation + "/" + sequence;
    }
}
