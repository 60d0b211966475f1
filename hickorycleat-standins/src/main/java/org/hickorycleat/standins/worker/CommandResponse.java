package org.hickorycleat.standins.worker;

import java.util.Optional;
import org.hickorycleat.model.result.ResultCode;

/** Answer to a command. */
public record CommandResponse(ResultCode code, Optional<AttemptStatus> task) {
    static CommandResponse of(ResultCode code) {
        return new CommandResponse(code, Optional.empty());
    }
}
