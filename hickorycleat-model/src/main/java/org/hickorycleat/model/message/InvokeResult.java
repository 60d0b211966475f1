package org.hickorycleat.model.message;

import java.util.List;
import org.hickorycleat.model.identifier.RequestId;
import org.hickorycleat.model.result.ResultCode;

/** Result of an {@link Invoke}; the HTTP status is 0 unless the target responded. */
@SuppressWarnings(
        "ArrayRecordComponent") // Shared without copying: bodies are large and never modified.
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
