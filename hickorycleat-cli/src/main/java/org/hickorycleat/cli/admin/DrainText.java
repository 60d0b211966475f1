package org.hickorycleat.cli.admin;

import java.util.List;
import org.hickorycleat.cli.TextTable;

/** Lays out the answers to POST /admin/drain. */
final class DrainText {
    private DrainText() {}

    static String render(List<AdminResponse> answers) {
        TextTable table = new TextTable("process", "state", "in flight");
        for (AdminResponse answer : answers) {
            table.row(
                    answer.json().path("process").asText(answer.address().text()),
                    answer.json().path("state").asText("?"),
                    answer.json().path("in_flight").asText("?"));
        }
        return table.render();
    }
}
