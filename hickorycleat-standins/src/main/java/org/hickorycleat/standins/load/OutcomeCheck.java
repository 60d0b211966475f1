package org.hickorycleat.standins.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * Compares the outcomes reported to callers with the runs recorded by the targets.
 *
 * <p>A request with outcome "done" must have run at least once and one with "not-run" must not have
 * run. A request with an idempotency key, whose name begins with "keyed" or "killed", must have run
 * at most once.
 */
public final class OutcomeCheck {
    private OutcomeCheck() {}

    /**
     * Prints the violations, and exits with 0 if there are none and at least one outcome was
     * checked.
     *
     * @param arguments the file of the outcomes and the file of the targets' records
     */
    public static void main(String[] arguments) throws IOException {
        Map<String, Integer> runCounts = runCounts(Path.of(arguments[1]));
        int checked = 0;
        int violations = 0;
        for (String line : Files.readAllLines(Path.of(arguments[0]))) {
            String[] parts = line.split(" ");
            int runCount = runCounts.getOrDefault(parts[0], 0);
            checked++;
            if (!isAllowed(parts[0], parts[1], runCount)) {
                violations++;
                System.out.println(
                        "event=violation load="
                                + parts[0]
                                + " told="
                                + parts[1]
                                + " runs="
                                + runCount);
            }
        }
        System.out.println("outcomes.checked=" + checked);
        System.out.println("outcomes.violations=" + violations);
        System.exit(checked > 0 && violations == 0 ? 0 : 1);
    }

    private static boolean isAllowed(String load, String outcome, int runCount) {
        boolean hasIdempotencyKey = load.startsWith("keyed") || load.startsWith("killed");
        if (hasIdempotencyKey && runCount > 1) {
            return false;
        }
        return switch (outcome) {
            case "done" -> runCount >= 1;
            case "not-run" -> runCount == 0;
            default -> true;
        };
    }

    private static Map<String, Integer> runCounts(Path file) throws IOException {
        ObjectMapper mapper = new ObjectMapper();
        Map<String, Integer> runCounts = new HashMap<>();
        for (String line : Files.readAllLines(file)) {
            JsonNode target = mapper.readTree(line);
            for (Map.Entry<String, JsonNode> entry : target.path("runs").properties()) {
                runCounts.merge(entry.getKey(), entry.getValue().asInt(), Integer::sum);
            }
        }
        return runCounts;
    }
}
