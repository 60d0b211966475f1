package org.hickorycleat.logic.retry;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.disposables.Disposable;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hickorycleat.model.message.HttpHeader;
import org.hickorycleat.model.message.Invoke;
import org.hickorycleat.model.message.InvokeResult;
import org.hickorycleat.model.result.Outcome;
import org.hickorycleat.model.result.ResultCode;

/** Counts the executions at the targets and checks them against the results of the callers. */
final class RequestOracle {
    static final String CALL_HEADER = "Call";

    /** Request of a caller and its results. */
    static final class CallRecord {
        final int mNumber;
        final CallerRequest mRequest;
        final long mDeadlineMs;
        final List<InvokeResult> mResults = new ArrayList<>();
        Disposable mSubscription = Disposable.disposed();
        long mRespondedMs;
        // The caller disconnected or its entry was killed.
        boolean mCallerGone;

        CallRecord(int number, CallerRequest request, long deadlineMs) {
            mNumber = number;
            mRequest = request;
            mDeadlineMs = deadlineMs;
        }
    }

    private final List<CallRecord> mCalls = new ArrayList<>();
    private final List<String> mViolations = new ArrayList<>();
    private final Map<Integer, Integer> mExecutionsOfCall = new HashMap<>();
    private final Map<String, Integer> mExecutionsOfKey = new HashMap<>();

    CallRecord addCall(CallRecord call) {
        mCalls.add(call);
        return call;
    }

    List<CallRecord> calls() {
        return mCalls;
    }

    /** Records a violation where an exception would be treated as a failure of the target. */
    void recordViolation(String description) {
        mViolations.add(description);
    }

    /** Counts an execution and returns the response of the target. */
    byte[] execute(Invoke invoke) {
        int number = callNumber(invoke.headers());
        mExecutionsOfCall.merge(number, 1, Integer::sum);
        invoke.idempotencyKey()
                .ifPresent(key -> mExecutionsOfKey.merge(key.value(), 1, Integer::sum));
        String content = new String(invoke.body(), StandardCharsets.UTF_8);
        return ("answer to " + content).getBytes(StandardCharsets.UTF_8);
    }

    /** Checks every call; to be called when no events are pending. */
    void check() {
        assertThat(mViolations).isEmpty();
        mCalls.forEach(this::check);
        mExecutionsOfKey.forEach(
                (key, count) -> assertThat(count).as("executions of key %s", key).isEqualTo(1));
    }

    private void check(CallRecord call) {
        int executions = mExecutionsOfCall.getOrDefault(call.mNumber, 0);
        boolean unsafe = !call.mRequest.idempotent() || call.mRequest.idempotencyKey().isPresent();
        if (unsafe) {
            assertThat(executions).as("executions of unsafe call %d", call.mNumber).isLessThan(2);
        }
        if (call.mCallerGone) {
            return;
        }
        assertThat(call.mResults).as("results of call %d", call.mNumber).hasSize(1);
        assertThat(call.mRespondedMs).as("answered").isLessThanOrEqualTo(call.mDeadlineMs);
        checkResult(call, call.mResults.get(0), executions);
    }

    private static void checkResult(CallRecord call, InvokeResult result, int executions) {
        if (result.code().outcome() == Outcome.NOT_RUN) {
            assertThat(executions)
                    .as("executions of call %d, which ended with %s", call.mNumber, result.code())
                    .isZero();
        }
        if (result.code() == ResultCode.OK) {
            String content = new String(call.mRequest.body(), StandardCharsets.UTF_8);
            assertThat(new String(result.body(), StandardCharsets.UTF_8))
                    .as("response to call %d", call.mNumber)
                    .isEqualTo("answer to " + content);
        }
    }

    private static int callNumber(List<HttpHeader> headers) {
        Optional<HttpHeader> header =
                headers.stream().filter(each -> each.name().equals(CALL_HEADER)).findFirst();
        return Integer.parseInt(header.orElseThrow().value());
    }
}
