package org.hickorycleat.cli.log;

import java.io.IOException;

/**
 * Thrown if the response of the log service is an error or malformed; an append may have been
 * committed.
 */
final class LogClientException extends IOException {
    LogClientException(String message) {
        super(message);
    }
}
