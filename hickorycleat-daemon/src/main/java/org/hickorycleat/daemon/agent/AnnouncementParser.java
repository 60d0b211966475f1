package org.hickorycleat.daemon.agent;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.message.TargetState;

/** Parses and validates the JSON of an announcement. */
final class AnnouncementParser {
    private static final int MAXIMUM_PORT = 65_535;
    private static final int MAXIMUM_SLOTS = 4_096;
    private static final int MAXIMUM_CONNECTIONS = 65_536;
    private static final int MAXIMUM_INSTANCE = 1_000_000;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final List<String> mErrors = new ArrayList<>();

    private AnnouncementParser() {}

    /** Parses an announcement; the left side lists all errors. */
    static Either<List<String>, Announcement> parse(byte[] body) {
        JsonNode root;
        try {
            root = MAPPER.readTree(body);
        } catch (IOException e) {
            return Either.left(List.of("not JSON"));
        }
        return new AnnouncementParser().readAnnouncement(root);
    }

    private Either<List<String>, Announcement> readAnnouncement(JsonNode root) {
        String service = root.path("service").asText("");
        if (service.isBlank()) {
            mErrors.add("service: expected a name");
        }
        int instance = readInteger(root, "instance", 0, MAXIMUM_INSTANCE);
        int port = readInteger(root, "port", 1, MAXIMUM_PORT);
        int slots = readInteger(root, "slots", 1, MAXIMUM_SLOTS);
        int connections = readInteger(root, "connections", 1, MAXIMUM_CONNECTIONS);
        String state = root.path("state").asText("");
        if (!state.equals("ready") && !state.equals("leaving")) {
            mErrors.add("state: expected ready or leaving, found '" + state + "'");
        }
        if (mErrors.isEmpty() && connections < slots) {
            mErrors.add("connections: expected at least the number of slots");
        }
        if (!mErrors.isEmpty()) {
            return Either.left(mErrors);
        }
        return Either.right(
                new Announcement(
                        new ServiceName(service),
                        new InstanceNumber(instance),
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                        slots,
                        connections,
                        state.equals("ready") ? TargetState.READY : TargetState.LEAVING));
    }

    private int readInteger(JsonNode root, String key, int minimum, int maximum) {
        JsonNode node = root.path(key);
        if (!node.isInt() || node.asInt() < minimum || node.asInt() > maximum) {
            mErrors.add(
                    key
                            + ": expected a whole number from "
                            + minimum
                            + " to "
                            + maximum
                            + ", found "
                            + (node.isMissingNode() ? "nothing" : node));
            return minimum;
        }
        return node.asInt();
    }
}
