package org.hickorycleat.daemon.worker;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class WorkerJsonCodecTest {
    private final WorkerJsonCodec mCodec = new WorkerJsonCodec();

    private void assertRejected(String worker, String incarnation) {
        String listing =
                "{\"worker\":\""
                        + worker
                        + "\",\"incarnation\":"
                        + incarnation
                        + ",\"clock_ms\":1,\"rack\":\"r\",\"processors_milli\":1,"
                        + "\"memory_mebibytes\":1,\"accelerators\":0,\"tasks\":[]}";
        assertThatThrownBy(
                        () ->
                                WorkerJsonCodec.listing(
                                        mCodec.parse(listing.getBytes(StandardCharsets.UTF_8))))
                .isInstanceOf(IOException.class);
    }

    /** Guards against a number that is silently reduced to another. */
    @Test
    void rejectsNumberBeyondLong() {
        assertRejected("w", "18446744073709551621");
    }

    /** Guards against an exception that callers do not expect. */
    @ParameterizedTest
    @CsvSource({"' ',1", "w,-1"})
    void rejectsValueThatIsNoIdentifier(String worker, String incarnation) {
        assertRejected(worker, incarnation);
    }

    @ParameterizedTest
    @CsvSource({"w,1e999", "w,'\"1\"'", "w,null"})
    void rejectsOddNumber(String worker, String incarnation) {
        assertRejected(worker, incarnation);
    }

    @Test
    void rejectsDeepNesting() {
        assertRejected("w", "[".repeat(100_000));
    }
}
