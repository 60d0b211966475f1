package org.hickorycleat.standins.worker;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks the histories of all workers: no two attempts of a task overlap, and each task succeeds
 * exactly once.
 */
public final class TaskRecordCheck {
    private final Map<String, List<RecordedAttempt>> mAttempts = new TreeMap<>();
    private int mViolations;

    private TaskRecordCheck() {}

    /** An attempt on one worker; {@code endMs} is {@code Long.MAX_VALUE} while it is running. */
    private record RecordedAttempt(
            int worker, long attempt, long startMs, long endMs, String state) {}

    /**
     * Checks the recorded attempts and exits with 1 if there is a violation.
     *
     * @param arguments a file with the history of one worker in each line, and the number of tasks
     *     expected
     */
    public static void main(String[] arguments) throws IOException {
        TaskRecordCheck check = new TaskRecordCheck();
        List<String> lines = Files.readAllLines(Path.of(arguments[0]));
        for (int worker = 0; worker < lines.size(); worker++) {
            check.read(worker, new ObjectMapper().readTree(lines.get(worker)).path("records"));
        }
        check.checkAll(Integer.parseInt(arguments[1]));
        System.exit(check.mViolations == 0 ? 0 : 1);
    }

    private void read(int worker, JsonNode records) {
        Map<String, JsonNode> running = new TreeMap<>();
        for (JsonNode record : records) {
            String task = record.path("task").asText();
            String attempt = task + "/" + record.path("attempt").asLong();
            if (record.path("event").asText().equals("start")) {
                running.put(attempt, record);
                continue;
            }
            JsonNode start = running.remove(attempt);
            if (start != null) {
                String state = record.path("state").asText();
                add(worker, start, record.path("at_ms").asLong(), state);
            }
        }
        running.values().forEach(start -> add(worker, start, Long.MAX_VALUE, "running"));
    }

    private void add(int worker, JsonNode start, long endMs, String state) {
        mAttempts
                .computeIfAbsent(start.path("task").asText(), key -> new ArrayList<>())
                .add(
                        new RecordedAttempt(
                                worker,
                                start.path("attempt").asLong(),
                                start.path("at_ms").asLong(),
                                endMs,
                                state));
    }

    private void checkAll(int expectedTasks) {
        mAttempts.forEach(this::check);
        if (mAttempts.size() != expectedTasks) {
            violation(
                    "tasks",
                    "expected " + expectedTasks + " tasks to have run, found " + mAttempts.size());
        }
        int attempts = mAttempts.values().stream().mapToInt(List::size).sum();
        System.out.println("tasks.checked=" + mAttempts.size());
        System.out.println("tasks.attempts=" + attempts);
        System.out.println("tasks.violations=" + mViolations);
    }

    private void check(String task, List<RecordedAttempt> attempts) {
        attempts.sort(Comparator.comparingLong(RecordedAttempt::startMs));
        for (int i = 1; i < attempts.size(); i++) {
            if (attempts.get(i).startMs() < attempts.get(i - 1).endMs()) {
                violation(task, attempts.get(i - 1) + " overlaps " + attempts.get(i));
            }
        }
        long succeeded =
                attempts.stream()
                        .filter(attempt -> attempt.state().equalsIgnoreCase("succeeded"))
                        .count();
        if (succeeded != 1) {
            violation(task, "succeeded " + succeeded + " times: " + attempts);
        }
    }

    private void violation(String task, String detail) {
        mViolations++;
        System.out.println("event=violation task=" + task + " detail=\"" + detail + '"');
    }
}
