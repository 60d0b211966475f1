package org.hickorycleat.logic.port;

import java.util.List;
import org.hickorycleat.model.message.HttpHeader;

/** Complete response of a target. */
@SuppressWarnings("ArrayRecordComponent") // Not copied, because the array is never modified.
public record TargetResponse(int status, List<HttpHeader> headers, byte[] body) {
    /** Copies the headers. */
    public TargetResponse {
        headers = List.copyOf(headers);
    }
}
