package org.hickorycleat.standins.worker;

import java.util.Optional;
import org.hickorycleat.model.result.ResultCode;

/** Answer to a command. */
public record Reply(ResultCode code, Optional<TaskView> task) {
    static Reply of(ResultCode code) {
        return new Reply(code, Optional.empty());
    }
}
