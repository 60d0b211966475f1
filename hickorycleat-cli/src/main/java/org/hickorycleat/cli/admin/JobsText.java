package org.hickorycleat.cli.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.hickorycleat.cli.TextTable;

/** Formats the responses to GET /admin/jobs. */
final class JobsText {
    private JobsText() {}

    static String render(List<AdminResponse> responses) {
        TextTable table = new TextTable("job", "run", "state", "try", "worker", "deadline", "why");
        int rows = 0;
        for (AdminResponse response : responses) {
            for (JsonNode job : response.json().path("jobs")) {
                rows++;
                table.row(
                        job.path("name").asText("?"),
                        job.path("run").asText("?"),
                        job.path("state").asText("?"),
                        job.path("attempt").asText("0"),
                        job.path("worker").asText(""),
                        job.path("deadline").asText(""),
                        job.path("reason").asText(""));
            }
        }
        return rows == 0 ? "no jobs\n" : table.render();
    }
}
