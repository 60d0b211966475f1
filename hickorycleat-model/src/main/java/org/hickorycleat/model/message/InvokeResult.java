package org.hickorycleat.model.message;

import java.util.List;
import org.hickorycleat.model.identifier.RequestId;
import org.hickorycleat.model.result.ResultCode;

/** The result of an {@link Invoke}; the HTTP status is 0 unless the target answered. */
@SuppressWarnings(
        "ArrayRecordComponent") // Copied neither in nor out: bodies are large and never changed.
public record InvokeResult(
        RequestId request,
        ResultCode code,
        int status,
        List<HttpHeader> headers,
        byte[] body,
        LoadSignal load)
        implements Message {
    /** Copies the collections. */
    public InvokeResult {
        headers = List.copyOf(headers);
    }
}
