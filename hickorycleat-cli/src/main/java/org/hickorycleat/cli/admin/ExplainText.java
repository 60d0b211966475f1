package org.hickorycleat.cli.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.hickorycleat.cli.TextTable;
import org.hickorycleat.cli.TextWrap;

/** Formats the responses to GET /admin/explain/{task}. */
final class ExplainText {
    private ExplainText() {}

    static String render(List<AdminResponse> responses) {
        StringBuilder text = new StringBuilder();
        responses.forEach(response -> text.append(formatTask(response.json())));
        return text.toString();
    }

    private static String formatTask(JsonNode task) {
        String summary =
                "task %s state %s attempt %s worker %s shard %s epoch %s"
                        .formatted(
                                task.path("task").asText("?"),
                                task.path("state").asText("?"),
                                task.path("attempt").asText("0"),
                                task.path("worker").asText("none"),
                                task.path("shard").asText("?"),
                                task.path("epoch").asText("?"));
        TextTable table = new TextTable("time", "event", "reason");
        for (JsonNode event : task.path("events")) {
            table.row(
                    event.path("time").asText("?"),
                    event.path("event").asText("?"),
                    event.path("reason").asText(""));
        }
        boolean hasEvents = !task.path("events").isEmpty();
        return TextWrap.wrap(summary, "  ") + (hasEvents ? table.render() : "");
    }
}
