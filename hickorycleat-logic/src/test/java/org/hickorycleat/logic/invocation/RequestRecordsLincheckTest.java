package org.hickorycleat.logic.invocation;

import java.util.Optional;
import org.hickorycleat.model.identifier.SessionNumber;
import org.hickorycleat.model.message.Invoke;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/** Guards against a request that starts although its cancellation reported that it did not run. */
public class RequestRecordsLincheckTest {
    private final RequestRecords mRecords =
            new RequestRecords(2, new RetainedBytes(Long.MAX_VALUE));
    private final Waiter mRegistered = waiter(1);
    private final Waiter mArriving = waiter(2);

    /** Opens the first session and registers one request. */
    public RequestRecordsLincheckTest() {
        open(1);
        register(mRegistered);
    }

    /** Registers the arriving request. */
    @Operation
    public String register() {
        return register(mArriving);
    }

    /** Starts the registered request, as happens when a slot becomes free. */
    @Operation
    public boolean startRegistered() {
        return mRegistered.execution().start(0).isPresent();
    }

    /** Starts the arriving request. */
    @Operation
    public boolean startArriving() {
        return mArriving.execution().start(0).isPresent();
    }

    /** Cancels the registered request. */
    @Operation
    public String cancelRegistered() {
        return cancel(mRegistered);
    }

    /** Cancels the arriving request. */
    @Operation
    public String cancelArriving() {
        return cancel(mArriving);
    }

    private static Waiter waiter(long counter) {
        Invoke invoke = TestInvokes.invoke(counter);
        Execution execution = new Execution(invoke, 1_000, counter);
        return new Waiter(new SessionNumber(1), invoke, 1_000, execution, result -> {});
    }

    private String register(Waiter waiter) {
        return mRecords.register(waiter, 0).name();
    }

    private String cancel(Waiter waiter) {
        return mRecords.cancel(waiter.request(), Optional.empty(), Long.MAX_VALUE)
                .getClass()
                .getSimpleName();
    }

    private void open(long session) {
        mRecords.openSession(
                TestInvokes.ENTRY, TestInvokes.INCARNATION, new SessionNumber(session));
    }

    @Test
    void operationsOfOneRequestAreLinearizable() {
        new ModelCheckingOptions()
                .iterations(10)
                .invocationsPerIteration(60)
                .threads(2)
                .actorsPerThread(3)
                .actorsBefore(0)
                .actorsAfter(1)
                .check(RequestRecordsLincheckTest.class);
    }
}
