package org.hickorycleat.cli.log;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import org.hickorycleat.cli.CommandFailure;
import org.hickorycleat.model.configuration.AcceptedConfiguration;
import org.hickorycleat.model.configuration.ConfigurationHistory;
import org.hickorycleat.model.configuration.ConfigurationRecord;
import org.hickorycleat.model.configuration.ConfigurationRecordCodec;
import org.hickorycleat.model.configuration.RecordOutcome;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.RecordId;
import org.hickorycleat.model.result.ResultCode;

/**
 * Publishes one manifest. The result does not depend on the response to the append, which may be
 * lost: the record is looked up in the stream, and its first occurrence determines the result.
 */
final class Publisher {
    /** Detail of the failure if the version in force cannot be derived from the stream. */
    static final String VERSION_UNKNOWN =
            "the stream no longer contains its start or a usable snapshot, so the current version"
                    + " is unknown; start an entry that has peers, or try again after the next"
                    + " snapshot";

    private static final long INITIAL_RETRY_DELAY_MS = 50;
    private static final long MAXIMUM_RETRY_DELAY_MS = 1_000;

    private final LogClient mLog;
    private final HistoryReader mReader;
    private final RecordId mId;
    private final long mDeadlineNanos;
    private Optional<PublicationResult> mResult = Optional.empty();
    private boolean mAppendAttempted;

    Publisher(LogClient log, RecordId id, Duration timeout) {
        mLog = log;
        mReader = new HistoryReader(log);
        mId = id;
        mDeadlineNanos = System.nanoTime() + timeout.toNanos();
    }

    /** Retries the publication until its outcome is known or the timeout expires. */
    Either<CommandFailure, PublicationResult> publish(byte[] manifest, ConfigurationVersion base)
            throws InterruptedException {
        long retryDelayMs = INITIAL_RETRY_DELAY_MS;
        while (true) {
            try {
                Optional<Either<CommandFailure, PublicationResult>> result =
                        attempt(manifest, base);
                if (result.isPresent()) {
                    return result.get();
                }
            } catch (IOException exception) {
                if (System.nanoTime() - mDeadlineNanos + retryDelayMs * 1_000_000 > 0) {
                    return Either.left(unavailable(exception));
                }
            }
            Thread.sleep(retryDelayMs);
            retryDelayMs = Math.min(MAXIMUM_RETRY_DELAY_MS, 2 * retryDelayMs);
        }
    }

    /** Returns the configuration version at the last offset read. */
    ConfigurationVersion currentVersion() {
        return mReader.history().version();
    }

    private Optional<Either<CommandFailure, PublicationResult>> attempt(
            byte[] manifest, ConfigurationVersion base) throws IOException {
        readToEnd();
        if (mResult.isPresent()) {
            return mResult.map(Either::right);
        }
        if (!mReader.history().isVersionKnown()) {
            return Optional.of(Either.left(versionUnknown()));
        }
        if (!mAppendAttempted) {
            Optional<PublicationResult> known = resultWithoutAppend(manifest, base);
            if (known.isPresent()) {
                return known.map(Either::right);
            }
        }
        mAppendAttempted = true;
        mLog.append(
                ConfigurationRecordCodec.encode(
                        new ConfigurationRecord.Publication(mId, manifest)));
        readToEnd();
        return mResult.map(Either::right);
    }

    /**
     * Returns the result if no record is needed. A stale base remains stale because a superseded
     * version never becomes current again.
     */
    private Optional<PublicationResult> resultWithoutAppend(
            byte[] manifest, ConfigurationVersion base) {
        Optional<AcceptedConfiguration> current = mReader.history().current();
        if (current.isPresent() && Arrays.equals(current.get().bytes(), manifest)) {
            return Optional.of(
                    new PublicationResult(RecordOutcome.REPEATED, mReader.history().version()));
        }
        if (!base.equals(mReader.history().version())) {
            return Optional.of(
                    new PublicationResult(RecordOutcome.STALE_BASE, mReader.history().version()));
        }
        return Optional.empty();
    }

    private void readToEnd() throws IOException {
        mReader.readToEnd(this::recordIfOwn);
    }

    private void recordIfOwn(
            LogReadResult.StreamRecord record, ConfigurationHistory.ApplyResult applyResult) {
        boolean isOwn =
                ConfigurationRecordCodec.decode(record.payload())
                        .filter(decoded -> decoded.id().equals(mId))
                        .isPresent();
        if (isOwn && mResult.isEmpty()) {
            mResult =
                    Optional.of(
                            new PublicationResult(
                                    applyResult.outcome(), applyResult.history().version()));
        }
    }

    private CommandFailure unavailable(IOException exception) {
        String effect =
                mAppendAttempted
                        ? "the manifest may have been published; publishing the same file again"
                                + " is safe"
                        : "nothing was published";
        return new CommandFailure(
                ResultCode.LOG_UNAVAILABLE, exception.getMessage() + "; " + effect);
    }

    private CommandFailure versionUnknown() {
        String effect = mAppendAttempted ? "the manifest may have been published; " : "";
        return new CommandFailure(ResultCode.NO_CONFIGURATION, effect + VERSION_UNKNOWN);
    }
}
