package org.hickorycleat.cli.admin;

import java.util.List;
import org.hickorycleat.cli.TextTable;

/** Formats the responses to POST /admin/drain. */
final class DrainText {
    private DrainText() {}

    static String render(List<AdminResponse> responses) {
        TextTable table = new TextTable("process", "state", "in flight");
        for (AdminResponse response : responses) {
            table.row(
                    response.json().path("process").asText(response.address().text()),
                    response.json().path("state").asText("?"),
                    response.json().path("in_flight").asText("?"));
        }
        return table.render();
    }
}
