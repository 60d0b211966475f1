package org.hickorycleat.cli;

import java.util.List;
import org.hickorycleat.model.result.ResultCode;

/**
 * Why a command failed.
 *
 * @param code result code, which determines the exit code
 * @param detail one line for the operator
 * @param items single faults, for example each error of a manifest
 */
public record CommandFailure(ResultCode code, String detail, List<String> items) {
    /** Copies the collections. */
    public CommandFailure {
        items = List.copyOf(items);
    }

    /** Creates a failure without single faults. */
    public CommandFailure(ResultCode code, String detail) {
        this(code, detail, List.of());
    }
}
