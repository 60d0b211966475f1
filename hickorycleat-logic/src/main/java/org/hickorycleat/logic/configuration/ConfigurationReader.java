package org.hickorycleat.logic.configuration;

import io.reactivex.rxjava3.core.Completable;
import java.util.Optional;
import org.hickorycleat.logic.log.StreamEvent;
import org.hickorycleat.logic.log.StreamFollower;
import org.hickorycleat.logic.port.LogRecord;
import org.hickorycleat.model.configuration.ConfigurationHistory;
import org.hickorycleat.model.configuration.RecordOutcome;

/** Follows the configuration stream and activates accepted manifests. */
public final class ConfigurationReader {
    private final StreamFollower mFollower;
    private final ConfigurationHolder mHolder;
    private final ConfigurationRecordListener mListener;
    private volatile ConfigurationHistory mHistory = ConfigurationHistory.startingAt(0);
    private volatile boolean mCaughtUp;

    /** Creates a reader; the follower must start at offset 0. */
    public ConfigurationReader(
            StreamFollower follower,
            ConfigurationHolder holder,
            ConfigurationRecordListener listener) {
        mFollower = follower;
        mHolder = holder;
        mListener = listener;
    }

    /** Reads the stream until disposed of. */
    public Completable run() {
        return mFollower.events().doOnNext(this::handle).ignoreElements();
    }

    /** Returns the history that results from the records read so far. */
    public ConfigurationHistory history() {
        return mHistory;
    }

    /** Returns whether the stream has been read to its end at least once. */
    public boolean isCaughtUp() {
        return mCaughtUp;
    }

    /** Formats the state of the configuration and the log for the health output of the process. */
    public String healthText() {
        Optional<String> error = mFollower.health().lastError();
        String log =
                error.map(message -> "unavailable log_error=\"" + message + "\"")
                        .orElse(mFollower.health().isAvailable() ? "available" : "not-read");
        String truncation =
                mCaughtUp && !mHistory.isVersionKnown() ? " stream=truncated-no-snapshot" : "";
        return mHolder.healthText() + " log=" + log + truncation;
    }

    private void handle(StreamEvent event) {
        if (event instanceof StreamEvent.Truncated truncated) {
            mHistory = ConfigurationHistory.startingAt(truncated.firstOffset());
        } else if (event instanceof StreamEvent.RecordsRead read) {
            read.page().records().forEach(this::apply);
        } else {
            mCaughtUp = true;
        }
        // Versions read while catching up are outdated and are skipped.
        if (mCaughtUp) {
            mHistory.current()
                    .ifPresent(
                            accepted -> mHolder.updateIfNewer(accepted, ConfigurationSource.LOG));
        }
    }

    private void apply(LogRecord record) {
        ConfigurationHistory.ApplyResult step = mHistory.apply(record.offset(), record.payload());
        mHistory = step.history();
        RecordOutcome outcome = step.outcome();
        mListener.onRecord(record.offset(), outcome);
    }
}
