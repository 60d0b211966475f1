package org.hickorycleat.logic.invocation;

import java.util.List;
import org.hickorycleat.logic.port.TargetResponse;
import org.hickorycleat.model.identifier.RequestId;
import org.hickorycleat.model.message.HttpHeader;
import org.hickorycleat.model.message.InvokeResult;
import org.hickorycleat.model.message.LoadSignal;
import org.hickorycleat.model.result.Outcome;
import org.hickorycleat.model.result.ResultCode;

/** Result of an execution, shared by all requests that wait for it. */
@SuppressWarnings("ArrayRecordComponent") // The body is never modified, so it is not copied.
record ExecutionResponse(ResultCode code, int status, List<HttpHeader> headers, byte[] body) {
    /** Larger bodies do not fit into a frame together with the headers. */
    static final int MAXIMUM_BODY_BYTES = 512 * 1024;

    /** Estimated memory of a record without the body. */
    private static final long RECORD_BYTES = 256;

    ExecutionResponse {
        headers = List.copyOf(headers);
    }

    static ExecutionResponse of(ResultCode code) {
        return new ExecutionResponse(code, 0, List.of(), new byte[0]);
    }

    static ExecutionResponse of(TargetResponse response) {
        if (response.body().length > MAXIMUM_BODY_BYTES) {
            return of(ResultCode.ANSWER_TOO_LARGE);
        }
        return new ExecutionResponse(
                ResultCode.OK, response.status(), response.headers(), response.body());
    }

    Outcome outcome() {
        return code.outcome();
    }

    long bytes() {
        return RECORD_BYTES + body.length;
    }

    InvokeResult toResult(RequestId request, LoadSignal load) {
        return new InvokeResult(request, code, status, headers, body, load);
    }
}
