package org.hickorycleat.model.identifier;

/**
 * Identity of a record that a process appends; a record appended twice keeps its identity.
 *
 * @param writer process that appends it
 * @param incarnation start of that process
 * @param sequence number of the record within the incarnation, increasing
 */
public record RecordId(ProcessId writer, Incarnation incarnation, long sequence) {
    @Override
    public String toString() {
        return writer + "/" + incarnation + "/" + sequence;
    }
}
