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

/** Checks the records of all workers: no task ran in two places, and each succeeded once. */
public final class TaskRecordCheck {
    private final Map<String, List<Run>> mRuns = new TreeMap<>();
    private int mViolations;

    private TaskRecordCheck() {}

    /** One attempt on one worker; {@code endMs} is the largest number while it runs. */
    private record Run(int worker, long attempt, long startMs, long endMs, String state) {}

    /** Checks a file with the records of one worker a line against the number of tasks. */
    public static void main(String[] arguments) throws IOException {
        TaskRecordCheck check = new TaskRecordCheck();
        List<String> lines = Files.readAllLines(Path.of(arguments[0]));
        for (int worker = 0; worker < lines.size(); worker++) {
            check.read(worker, new ObjectMapper().readTree(lines.get(worker)).path("records"));
        }
        check.run(Integer.parseInt(arguments[1]));
        System.exit(check.mViolations == 0 ? 0 : 1);
    }

    private void read(int worker, JsonNode records) {
        Map<String, JsonNode> open = new TreeMap<>();
        for (JsonNode record : records) {
            String task = record.path("task").asText();
            String attempt = task + "/" + record.path("attempt").asLong();
            if (record.path("event").asText().equals("start")) {
                open.put(attempt, record);
                continue;
            }
            JsonNode start = open.remove(attempt);
            if (start != null) {
                String state = record.path("state").asText();
                add(worker, start, record.path("at_ms").asLong(), state);
            }
        }
        open.values().forEach(start -> add(worker, start, Long.MAX_VALUE, "running"));
    }

    private void add(int worker, JsonNode start, long endMs, String state) {
        mRuns.computeIfAbsent(start.path("task").asText(), key -> new ArrayList<>())
                .add(
                        new Run(
                                worker,
                                start.path("attempt").asLong(),
                                start.path("at_ms").asLong(),
                                endMs,
                                state));
    }

    private void run(int tasks) {
        mRuns.forEach(this::check);
        if (mRuns.size() != tasks) {
            violation("tasks", "expected " + tasks + " tasks to have run, found " + mRuns.size());
        }
        int attempts = mRuns.values().stream().mapToInt(List::size).sum();
        System.out.println("tasks.checked=" + mRuns.size());
        System.out.println("tasks.attempts=" + attempts);
        System.out.println("tasks.violations=" + mViolations);
    }

    private void check(String task, List<Run> runs) {
        runs.sort(Comparator.comparingLong(Run::startMs));
        for (int i = 1; i < runs.size(); i++) {
            if (runs.get(i).startMs() < runs.get(i - 1).endMs()) {
                violation(task, runs.get(i - 1) + " overlaps " + runs.get(i));
            }
        }
        long succeeded =
                runs.stream().filter(run -> run.state().equalsIgnoreCase("succeeded")).count();
        if (succeeded != 1) {
            violation(task, "succeeded " + succeeded + " times: " + runs);
        }
    }

    private void violation(String task, String text) {
        mViolations++;
        System.out.println("event=violation task=" + task + " detail=\"" + text + '"');
    }
}
