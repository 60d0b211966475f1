package org.hickorycleat.cli.admin;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.List;
import org.hickorycleat.cli.CommandFailure;

/** The request of an admin command to one process. */
@FunctionalInterface
interface AdminRequest {
    /** Sends the request with the arguments of the command line. */
    Either<CommandFailure, JsonNode> send(
            AdminClient client, AdminAddress address, List<String> arguments);
}
