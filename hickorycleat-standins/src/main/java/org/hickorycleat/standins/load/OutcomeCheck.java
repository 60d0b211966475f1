package org.hickorycleat.standins.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * Compares the outcomes that callers were told with the records of the targets.
 *
 * <p>A request told to be done ran; one told to be not run did not; one with an idempotency key,
 * whose name begins with "keyed" or "killed", ran at most once.
 */
public final class OutcomeCheck {
    private OutcomeCheck() {}

    /** Prints the violations; exits 0 when there are none. */
    public static void main(String[] arguments) throws IOException {
        Map<String, Integer> runs = runs(Path.of(arguments[1]));
        int checked = 0;
        int violations = 0;
        for (String line : Files.readAllLines(Path.of(arguments[0]))) {
            String[] parts = line.split(" ");
            int count = runs.getOrDefault(parts[0], 0);
            checked++;
            if (!isAllowed(parts[0], parts[1], count)) {
                violations++;
                System.out.println(
                        "event=violation load="
                                + parts[0]
                                + " told="
                                + parts[1]
                                + " runs="
                                + count);
            }
        }
        System.out.println("outcomes.checked=" + checked);
        System.out.println("outcomes.violations=" + violations);
        System.exit(checked > 0 && violations == 0 ? 0 : 1);
    }

    private static boolean isAllowed(String load, String told, int count) {
        boolean once = load.startsWith("keyed") || load.startsWith("killed");
        if (once && count > 1) {
            return false;
        }
        return switch (told) {
            case "done" -> count >= 1;
            case "not-run" -> count == 0;
            default -> true;
        };
    }

    private static Map<String, Integer> runs(Path file) throws IOException {
        ObjectMapper mapper = new ObjectMapper();
        Map<String, Integer> runs = new HashMap<>();
        for (String line : Files.readAllLines(file)) {
            JsonNode target = mapper.readTree(line);
            for (Map.Entry<String, JsonNode> run : target.path("runs").properties()) {
                runs.merge(run.getKey(), run.getValue().asInt(), Integer::sum);
            }
        }
        return runs;
    }
}
