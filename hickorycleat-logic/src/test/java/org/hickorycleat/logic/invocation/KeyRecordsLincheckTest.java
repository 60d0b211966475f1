package org.hickorycleat.logic.invocation;

import java.util.Optional;
import org.hickorycleat.model.identifier.IdempotencyKey;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.result.ResultCode;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/** Guards against concurrent copies of a key that both create an execution. */
public class KeyRecordsLincheckTest {
    private final KeyRecords mRecords =
            new KeyRecords(2, 100, 1_000, new RetainedBytes(Long.MAX_VALUE));
    private final ScopedKey mKey =
            new ScopedKey(
                    new ServiceName("booking"), new TeamName("team"), new IdempotencyKey("key"));
    private final RequestFingerprint mFingerprint = new RequestFingerprint("fingerprint");
    private final Execution mExecution = new Execution(TestInvokes.invoke(1), 1_000, 1);

    /** Claims the key; always with the same execution, so that other operations can end it. */
    @Operation
    public String claim() {
        KeyRecords.Claim claim =
                mRecords.claim(mKey, mFingerprint, Optional.empty(), () -> mExecution, 0);
        if (claim instanceof KeyRecords.Claim.Run run) {
            return run.created() ? "created" : "joined";
        }
        return claim instanceof KeyRecords.Claim.Replay ? "replayed" : "refused";
    }

    /** Ends the execution with an outcome that must be recorded. */
    @Operation
    public void end() {
        mRecords.end(mKey, mExecution, ExecutionResponse.of(ResultCode.TARGET_FAILED), 0);
    }

    /** Removes the record of the execution. */
    @Operation
    public void remove() {
        mRecords.remove(mKey, mExecution);
    }

    @Test
    void claimsOfOneKeyAreLinearizable() {
        new ModelCheckingOptions()
                .iterations(4)
                .invocationsPerIteration(50)
                .threads(2)
                .actorsPerThread(3)
                .check(KeyRecordsLincheckTest.class);
    }
}
