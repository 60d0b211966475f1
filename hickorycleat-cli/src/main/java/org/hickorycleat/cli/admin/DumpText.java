package org.hickorycleat.cli.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import org.hickorycleat.cli.TextWrap;

/** Formats the responses to GET /admin/dump with one line per value and its path. */
final class DumpText {
    private DumpText() {}

    static String render(List<AdminResponse> responses) {
        StringBuilder text = new StringBuilder();
        for (AdminResponse response : responses) {
            text.append("process ").append(response.address().text()).append('\n');
            append("", response.json(), text);
        }
        return text.toString();
    }

    private static void append(String path, JsonNode node, StringBuilder text) {
        if (node.isValueNode()) {
            text.append(TextWrap.wrap("  " + path + "=" + node.asText(), "    "));
        }
        for (Map.Entry<String, JsonNode> field : node.properties()) {
            String separator = path.isEmpty() ? "" : ".";
            append(path + separator + field.getKey(), field.getValue(), text);
        }
        for (int index = 0; node.isArray() && index < node.size(); index++) {
            append(path + "[" + index + "]", node.get(index), text);
        }
    }
}
