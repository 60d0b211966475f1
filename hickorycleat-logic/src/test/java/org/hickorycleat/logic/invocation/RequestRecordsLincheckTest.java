package org.hickorycleat.logic.invocation;

import java.util.Optional;
import org.hickorycleat.model.identifier.SessionNumber;
import org.hickorycleat.model.result.ResultCode;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/** Guards against a request that starts although its cancellation or fence said that it did not. */
public class RequestRecordsLincheckTest {
    private final RequestRecords mRecords =
            new RequestRecords(2, new RetainedBytes(Long.MAX_VALUE));
    private final Execution mExecution = new Execution(TestInvokes.invoke(1), 1_000, 1);
    private final Waiter mWaiter =
            new Waiter(
                    new SessionNumber(1), TestInvokes.invoke(1), 1_000, mExecution, result -> {});

    /** Opens the first session. */
    public RequestRecordsLincheckTest() {
        open(1);
    }

    /** Registers the request that the first session brought. */
    @Operation
    public String register() {
        return mRecords.register(mWaiter, 0).name();
    }

    /** Starts the execution, as a free slot does. */
    @Operation
    public boolean start() {
        return mExecution.start(0).isPresent();
    }

    /** Cancels the request. */
    @Operation
    public String cancel() {
        return mRecords.cancel(mWaiter.request(), Optional.empty(), Long.MAX_VALUE)
                .getClass()
                .getSimpleName();
    }

    /** Opens the second session. */
    @Operation
    public int fence() {
        return open(2);
    }

    /** Ends the execution. */
    @Operation
    public boolean end() {
        Answer answer = Answer.of(ResultCode.OK);
        return mRecords.end(mWaiter, answer, Long.MAX_VALUE).isPresent();
    }

    private int open(long session) {
        return mRecords.openSession(
                        TestInvokes.ENTRY, TestInvokes.INCARNATION, new SessionNumber(session))
                .size();
    }

    @Test
    void theStepsOfOneRequestAreLinearizable() {
        new ModelCheckingOptions()
                .iterations(4)
                .invocationsPerIteration(50)
                .threads(2)
                .actorsPerThread(3)
                .check(RequestRecordsLincheckTest.class);
    }
}
