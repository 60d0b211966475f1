package org.hickorycleat.cli.admin;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.List;
import org.hickorycleat.cli.CommandFailure;

/** The exchange of an admin command with one process. */
@FunctionalInterface
interface AdminRequest {
    /** Sends the request; the arguments are those of the command line. */
    Either<CommandFailure, JsonNode> send(
            AdminClient client, AdminAddress address, List<String> arguments);
}
