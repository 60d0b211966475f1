package org.hickorycleat.cli.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.hickorycleat.cli.TextTable;
import org.hickorycleat.cli.TextWrap;

/** Formats the responses to GET /admin/status. */
final class StatusText {
    private StatusText() {}

    static String render(List<AdminResponse> responses) {
        StringBuilder text = new StringBuilder();
        for (AdminResponse response : responses) {
            text.append(text.isEmpty() ? "" : "\n").append(formatProcess(response.json()));
        }
        return text.toString();
    }

    private static String formatProcess(JsonNode status) {
        JsonNode configuration = status.path("configuration");
        JsonNode log = status.path("log");
        String processLine =
                "process %s role %s zone %s state %s"
                        .formatted(
                                status.path("process").asText("?"),
                                status.path("role").asText("?"),
                                status.path("zone").asText("?"),
                                status.path("state").asText("?"));
        String configurationLine =
                "  configuration version %s source %s, log %s, in flight %d"
                        .formatted(
                                configuration.path("version").asText("none"),
                                configuration.path("source").asText("none"),
                                log.path("available").asBoolean() ? "available" : "unavailable",
                                status.path("in_flight").asLong());
        String reason = status.path("reason").asText("");
        return TextWrap.wrap(processLine, "  ")
                + TextWrap.wrap(configurationLine, "  ")
                + (reason.isEmpty() ? "" : TextWrap.wrap("  reason: " + reason, "    "))
                + formatServices(status.path("services"))
                + formatShards(status.path("shards"));
    }

    private static String formatServices(JsonNode services) {
        TextTable table =
                new TextTable("service", "ready", "leaving", "suspect", "in flight", "queued");
        for (JsonNode service : services) {
            table.row(
                    service.path("service").asText("?"),
                    service.path("ready").asText("0"),
                    service.path("leaving").asText("0"),
                    service.path("suspect").asText("0"),
                    service.path("in_flight").asText("0"),
                    service.path("queued").asText("0"));
        }
        return services.isEmpty() ? "" : table.render();
    }

    private static String formatShards(JsonNode shards) {
        TextTable table = new TextTable("shard", "owner", "epoch", "running", "waiting");
        for (JsonNode shard : shards) {
            table.row(
                    shard.path("shard").asText("?"),
                    shard.path("owner").asText("none"),
                    shard.path("epoch").asText("?"),
                    shard.path("tasks_running").asText("0"),
                    shard.path("tasks_waiting").asText("0"));
        }
        return shards.isEmpty() ? "" : table.render();
    }
}
