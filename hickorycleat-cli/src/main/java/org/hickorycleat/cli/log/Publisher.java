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
 * Publishes one manifest. The answer of the append is never trusted nor needed: the record is
 * looked for in the stream, and the first copy found decides.
 */
final class Publisher {
    private static final long FIRST_PAUSE_MS = 50;
    private static final long MAXIMUM_PAUSE_MS = 1_000;

    private final LogClient mLog;
    private final RecordId mId;
    private final long mDeadlineNanos;
    private ConfigurationHistory mHistory = ConfigurationHistory.startingAt(0);
    private Optional<PublicationResult> mFound = Optional.empty();
    private boolean mWasAppended;

    Publisher(LogClient log, RecordId id, Duration timeout) {
        mLog = log;
        mId = id;
        mDeadlineNanos = System.nanoTime() + timeout.toNanos();
    }

    /** Publishes until the outcome is known or time is up. */
    Either<CommandFailure, PublicationResult> publish(byte[] manifest, ConfigurationVersion base)
            throws InterruptedException {
        long pauseMs = FIRST_PAUSE_MS;
        while (true) {
            try {
                Optional<Either<CommandFailure, PublicationResult>> result =
                        attempt(manifest, base);
                if (result.isPresent()) {
                    return result.get();
                }
            } catch (IOException exception) {
                if (System.nanoTime() - mDeadlineNanos + pauseMs * 1_000_000 > 0) {
                    return Either.left(unavailable(exception));
                }
            }
            Thread.sleep(pauseMs);
            pauseMs = Math.min(MAXIMUM_PAUSE_MS, 2 * pauseMs);
        }
    }

    /** Returns the current version of what was read. */
    ConfigurationVersion currentVersion() {
        return mHistory.version();
    }

    private Optional<Either<CommandFailure, PublicationResult>> attempt(
            byte[] manifest, ConfigurationVersion base) throws IOException {
        readToEnd();
        if (mFound.isPresent()) {
            return mFound.map(Either::right);
        }
        if (!mHistory.isVersionKnown()) {
            return Optional.of(Either.left(undecided()));
        }
        if (!mWasAppended) {
            Optional<PublicationResult> known = withoutAppend(manifest, base);
            if (known.isPresent()) {
                return known.map(Either::right);
            }
        }
        mWasAppended = true;
        mLog.append(
                ConfigurationRecordCodec.encode(
                        new ConfigurationRecord.Publication(mId, manifest)));
        readToEnd();
        return mFound.map(Either::right);
    }

    /** Decides what needs no record: a version that was left behind never becomes current again. */
    private Optional<PublicationResult> withoutAppend(byte[] manifest, ConfigurationVersion base) {
        Optional<AcceptedConfiguration> current = mHistory.current();
        if (current.isPresent() && Arrays.equals(current.get().bytes(), manifest)) {
            return Optional.of(new PublicationResult(RecordOutcome.REPEATED, mHistory.version()));
        }
        if (!base.equals(mHistory.version())) {
            return Optional.of(new PublicationResult(RecordOutcome.STALE_BASE, mHistory.version()));
        }
        return Optional.empty();
    }

    private void readToEnd() throws IOException {
        while (true) {
            LogReadResult read = mLog.read(mHistory.nextOffset());
            if (read.isTruncated()) {
                mHistory = ConfigurationHistory.startingAt(read.firstOffset());
            } else if (read.records().isEmpty()) {
                return;
            }
            read.records().forEach(this::apply);
        }
    }

    private void apply(LogReadResult.StreamRecord record) {
        ConfigurationHistory.ApplyResult step = mHistory.apply(record.offset(), record.payload());
        mHistory = step.history();
        boolean isOwn =
                ConfigurationRecordCodec.decode(record.payload())
                        .filter(decoded -> decoded.id().equals(mId))
                        .isPresent();
        if (isOwn && mFound.isEmpty()) {
            mFound = Optional.of(new PublicationResult(step.outcome(), mHistory.version()));
        }
    }

    private CommandFailure unavailable(IOException exception) {
        String effect =
                mWasAppended
                        ? "the manifest may have been published; publishing the same file again"
                                + " is safe"
                        : "nothing was published";
        return new CommandFailure(
                ResultCode.LOG_UNAVAILABLE, exception.getMessage() + "; " + effect);
    }

    private CommandFailure undecided() {
        String effect = mWasAppended ? "the manifest may have been published; " : "";
        return new CommandFailure(
                ResultCode.NO_CONFIGURATION,
                effect
                        + "the stream no longer holds its start and holds no usable snapshot, so"
                        + " the current version is unknown; start an entry that has peers, or try"
                        + " again after the next snapshot");
    }
}
