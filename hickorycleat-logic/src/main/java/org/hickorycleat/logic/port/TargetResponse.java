package org.hickorycleat.logic.port;

import java.util.List;
import org.hickorycleat.model.message.HttpHeader;

/** Whole answer of a target. */
@SuppressWarnings("ArrayRecordComponent") // Copied neither in nor out: never changed.
public record TargetResponse(int status, List<HttpHeader> headers, byte[] body) {
    /** Copies the headers. */
    public TargetResponse {
        headers = List.copyOf(headers);
    }
}
