package org.hickorycleat.daemon.entry;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.hickorycleat.daemon.http.AdminTaskStatus;
import org.hickorycleat.logic.ownership.AttemptRecord;
import org.hickorycleat.logic.ownership.TaskExplanation;
import org.hickorycleat.logic.ownership.TaskRecord;
import org.hickorycleat.logic.ownership.TaskResult;
import org.hickorycleat.model.task.TaskSpecification;

/** Converts a shard's explanation of a task to the form of the admin interface. */
final class AdminTaskStatusFactory {
    private AdminTaskStatusFactory() {}

    static AdminTaskStatus of(TaskExplanation explanation) {
        String task = explanation.task().value();
        int separator = task.indexOf('#');
        Optional<TaskRecord> record = explanation.record();
        Optional<TaskSpecification> specification = record.map(TaskRecord::specification);
        Optional<AttemptRecord> attempt = record.flatMap(TaskRecord::attempt);
        return new AdminTaskStatus(
                task,
                separator < 0 ? task : task.substring(0, separator),
                separator < 0 ? "" : task.substring(separator + 1),
                specification.map(found -> found.team().value()).orElse(""),
                specification.map(found -> found.criticality().wireName()).orElse(""),
                state(explanation),
                record.map(TaskRecord::lastAttempt).orElse(0L),
                attempt.map(running -> running.worker().value()),
                specification
                        .map(TaskSpecification::deadlineMs)
                        .flatMap(AdminTaskStatusFactory::formatTime),
                explanation.summary(),
                events(explanation));
    }

    private static String state(TaskExplanation explanation) {
        if (explanation.result().isPresent()) {
            return outcomeName(explanation.result().get().outcome());
        }
        Optional<AttemptRecord> attempt = explanation.record().flatMap(TaskRecord::attempt);
        if (attempt.isEmpty()) {
            return "waiting";
        }
        if (attempt.get().stop().isPresent()) {
            return "stopping";
        }
        return explanation.confirmed() ? "running" : "starting";
    }

    private static List<AdminTaskStatus.Event> events(TaskExplanation explanation) {
        List<AdminTaskStatus.Event> events = new ArrayList<>();
        explanation
                .record()
                .ifPresent(record -> events.add(event(record.submittedMs(), "accepted", "")));
        explanation
                .record()
                .flatMap(TaskRecord::attempt)
                .ifPresent(
                        attempt ->
                                events.add(
                                        event(
                                                attempt.startedMs(),
                                                "started",
                                                "attempt " + attempt.number())));
        explanation
                .result()
                .ifPresent(
                        result ->
                                events.add(
                                        event(
                                                result.endedMs(),
                                                outcomeName(result.outcome()),
                                                result.reason())));
        return events;
    }

    private static AdminTaskStatus.Event event(long timeMs, String event, String reason) {
        return new AdminTaskStatus.Event(Instant.ofEpochMilli(timeMs).toString(), event, reason);
    }

    private static Optional<String> formatTime(long timeMs) {
        return timeMs == Long.MAX_VALUE
                ? Optional.empty()
                : Optional.of(Instant.ofEpochMilli(timeMs).toString());
    }

    private static String outcomeName(TaskResult.Outcome outcome) {
        return outcome.name().toLowerCase(Locale.ROOT);
    }
}
