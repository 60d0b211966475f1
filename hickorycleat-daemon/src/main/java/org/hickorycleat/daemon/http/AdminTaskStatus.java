package org.hickorycleat.daemon.http;

import java.util.List;
import java.util.Optional;

/** Status of a task in the admin interface; docs/interfaces.md describes the fields. */
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
    /** An event in the history of the task. */
    public record Event(String time, String event, String reason) {}
}
