package org.hickorycleat.daemon.http;

import java.util.List;
import java.util.Optional;

/** A task as operators see it; docs/interfaces.md describes the fields. */
public record AdminTaskStatus(
        String task,
        String name,
        String run,
        String team,
        String criticality,
        String state,
        long attempt,
        Optional<String> worker,
        Optional<String> deadline,
        String reason,
        List<Event> events) {
    /** Something that happened to the task. */
    public record Event(String time, String event, String reason) {}
}
