package org.hickorycleat.cli.log;

import java.io.IOException;

/** The log service did not answer as it should; an append may have taken effect. */
final class LogClientException extends IOException {
    LogClientException(String message) {
        super(message);
    }
}
