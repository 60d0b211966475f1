package org.hickorycleat.cli.admin;

import java.util.List;
import org.hickorycleat.cli.Command;

/** Factory of the commands that send requests to running processes. */
public final class AdminCommands {
    private AdminCommands() {}

    /** Creates the command that shows processes, services and shards. */
    public static Command status() {
        return new AdminCommand(
                "status",
                "Shows configuration, health, services and shards of processes",
                List.of(),
                (client, address, arguments) -> client.get(address, "status"),
                StatusText::render);
    }

    /** Creates the command that lists batch jobs. */
    public static Command jobs() {
        return new AdminCommand(
                "jobs",
                "Lists the batch jobs of the shards that entries own",
                List.of(),
                (client, address, arguments) -> client.get(address, "jobs"),
                JobsText::render);
    }

    /** Creates the command that explains the placement and state of a task. */
    public static Command explain() {
        return new AdminCommand(
                "explain",
                "Explains where a task is, and why it waits or was moved",
                List.of("TASK"),
                (client, address, arguments) -> client.get(address, "explain", arguments.get(0)),
                ExplainText::render);
    }

    /** Creates the command that requests a graceful shutdown. */
    public static Command drain() {
        return new AdminCommand(
                "drain",
                "Requests a graceful shutdown: rejects new work, finishes in-flight work",
                List.of(),
                (client, address, arguments) -> client.post(address, "drain"),
                DrainText::render);
    }

    /** Creates the command that prints the internal state of processes. */
    public static Command dump() {
        return new AdminCommand(
                "dump",
                "Prints the internal state of processes for a fault report",
                List.of(),
                (client, address, arguments) -> client.get(address, "dump"),
                DumpText::render);
    }
}
