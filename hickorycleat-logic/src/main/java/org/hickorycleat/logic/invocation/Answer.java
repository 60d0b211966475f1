package org.hickorycleat.logic.invocation;

import java.util.List;
import org.hickorycleat.logic.port.TargetResponse;
import org.hickorycleat.model.identifier.RequestId;
import org.hickorycleat.model.message.HttpHeader;
import org.hickorycleat.model.message.InvokeResult;
import org.hickorycleat.model.message.LoadSignal;
import org.hickorycleat.model.result.Outcome;
import org.hickorycleat.model.result.ResultCode;

/** How an execution ended, for every request that waits for it. */
@SuppressWarnings("ArrayRecordComponent") // Copied neither in nor out: never changed.
record Answer(ResultCode code, int status, List<HttpHeader> headers, byte[] body) {
    /** Bodies above this size do not fit into a frame together with their headers. */
    static final int MAXIMUM_BODY_BYTES = 512 * 1024;

    /** Estimate of the memory of a record without its body. */
    private static final long RECORD_BYTES = 256;

    Answer {
        headers = List.copyOf(headers);
    }

    static Answer of(ResultCode code) {
        return new Answer(code, 0, List.of(), new byte[0]);
    }

    static Answer of(TargetResponse answer) {
        if (answer.body().length > MAXIMUM_BODY_BYTES) {
            return of(ResultCode.ANSWER_TOO_LARGE);
        }
        return new Answer(ResultCode.OK, answer.status(), answer.headers(), answer.body());
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
