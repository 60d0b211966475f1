package org.hickorycleat.logic.invocation;

import java.util.function.Consumer;
import org.hickorycleat.model.identifier.RequestId;
import org.hickorycleat.model.identifier.SessionNumber;
import org.hickorycleat.model.message.Invoke;
import org.hickorycleat.model.message.InvokeResult;

/** A request that waits for its execution. */
record Waiter(
        SessionNumber session,
        Invoke invoke,
        long deadlineMs,
        Execution execution,
        Consumer<InvokeResult> reply) {
    RequestId request() {
        return invoke.request();
    }

    Waiter withReply(Consumer<InvokeResult> other) {
        return new Waiter(session, invoke, deadlineMs, execution, other);
    }

    Invoke invokeWithRemainingTime(long remainingMs) {
        return new Invoke(
                invoke.request(),
                invoke.service(),
                invoke.instance(),
                invoke.method(),
                invoke.path(),
                invoke.headers(),
                invoke.body(),
                invoke.criticality(),
                invoke.team(),
                remainingMs,
                invoke.idempotent(),
                invoke.idempotencyKey(),
                invoke.mappingVersion(),
                invoke.acknowledgedBelow());
    }
}
