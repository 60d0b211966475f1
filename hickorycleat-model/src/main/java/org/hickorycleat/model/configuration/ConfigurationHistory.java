package org.hickorycleat.model.configuration;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Validation;
import java.util.Arrays;
import java.util.Optional;
import org.hickorycleat.model.configuration.ConfigurationRecord.Snapshot;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.manifest.Manifest;
import org.hickorycleat.model.manifest.ManifestError;
import org.hickorycleat.model.manifest.ManifestParser;

/**
 * The accepted configuration as a pure function of the records read; immutable.
 *
 * <p>A reader that begins after the start of the stream knows no current version. It learns it from
 * a snapshot whose writer had read at least up to where this reader began, then judges the
 * publications between that place and the snapshot itself. An earlier snapshot is not enough: a
 * manifest accepted after it may have been dropped by retention.
 */
public final class ConfigurationHistory {
    private static final ConfigurationVersion NO_VERSION = new ConfigurationVersion(-1);

    private final long mFirstOffset;
    private final long mNextOffset;
    private final boolean mDecided;
    private final Optional<AcceptedConfiguration> mCurrent;
    private final long mLastSnapshotOffset;
    private final Vector<PendingPublication> mPending;

    private ConfigurationHistory(
            long firstOffset,
            long nextOffset,
            boolean decided,
            Optional<AcceptedConfiguration> current,
            long lastSnapshotOffset,
            Vector<PendingPublication> pending) {
        mFirstOffset = firstOffset;
        mNextOffset = nextOffset;
        mDecided = decided;
        mCurrent = current;
        mLastSnapshotOffset = lastSnapshotOffset;
        mPending = pending;
    }

    /** A publication read before the current version was known. */
    @SuppressWarnings("ArrayRecordComponent") // Copied neither in nor out: never changed.
    private record PendingPublication(long offset, byte[] manifest) {}

    /** History after a record, and what the record did. */
    public record ApplyResult(ConfigurationHistory history, RecordOutcome outcome) {}

    /** Returns the history of a reader that begins at the given first kept offset. */
    public static ConfigurationHistory startingAt(long firstOffset) {
        return new ConfigurationHistory(
                firstOffset, firstOffset, firstOffset == 0, Optional.empty(), -1, Vector.empty());
    }

    /**
     * Applies the next record. An offset already applied changes nothing; after a gap the current
     * version is unknown, as for a reader that begins there.
     */
    public ApplyResult apply(long offset, byte[] payload) {
        if (offset < mNextOffset) {
            return new ApplyResult(this, RecordOutcome.REPEATED);
        }
        if (offset > mNextOffset) {
            return startingAt(offset).apply(offset, payload);
        }
        Optional<ConfigurationRecord> decoded = ConfigurationRecordCodec.decode(payload);
        if (decoded.isEmpty()) {
            return advance(offset, RecordOutcome.MALFORMED);
        }
        return decoded.get() instanceof Snapshot snapshot
                ? snapshot(offset, snapshot)
                : publication(offset, decoded.get().manifest());
    }

    /** Tells whether the current version is known, even if it is none. */
    public boolean isVersionKnown() {
        return mDecided;
    }

    /** Returns the current configuration; empty if there is none or it is not known. */
    public Optional<AcceptedConfiguration> current() {
        return mCurrent;
    }

    /** Returns the current version, -1 for none. */
    public ConfigurationVersion version() {
        return versionOf(mCurrent);
    }

    /** Returns the offset to read next. */
    public long nextOffset() {
        return mNextOffset;
    }

    /**
     * Returns the offset of the newest snapshot of the then current manifest, -1 for none. A
     * publication does not count: a reader that begins after the start cannot judge it.
     */
    public long lastSnapshotOffset() {
        return mLastSnapshotOffset;
    }

    private ApplyResult publication(long offset, byte[] manifest) {
        if (!mDecided) {
            Vector<PendingPublication> pending =
                    mPending.append(new PendingPublication(offset, manifest));
            return new ApplyResult(
                    with(offset + 1, mCurrent, mLastSnapshotOffset, pending),
                    RecordOutcome.UNDECIDED);
        }
        if (mCurrent.isPresent() && Arrays.equals(mCurrent.get().bytes(), manifest)) {
            return new ApplyResult(
                    with(offset + 1, mCurrent, mLastSnapshotOffset, mPending),
                    RecordOutcome.REPEATED);
        }
        Validation<Seq<ManifestError>, Manifest> parsed = ManifestParser.parse(manifest);
        if (parsed.isInvalid()) {
            return advance(offset, RecordOutcome.INVALID_MANIFEST);
        }
        if (!parsed.get().base().equals(version())) {
            return advance(offset, RecordOutcome.STALE_BASE);
        }
        AcceptedConfiguration accepted =
                new AcceptedConfiguration(new ConfigurationVersion(offset), parsed.get(), manifest);
        return new ApplyResult(
                with(offset + 1, Optional.of(accepted), mLastSnapshotOffset, mPending),
                RecordOutcome.ACCEPTED);
    }

    private ApplyResult snapshot(long offset, Snapshot snapshot) {
        if (mDecided) {
            boolean isCurrent = snapshot.version().equals(version());
            return new ApplyResult(
                    with(offset + 1, mCurrent, isCurrent ? offset : mLastSnapshotOffset, mPending),
                    RecordOutcome.SNAPSHOT);
        }
        Optional<Optional<AcceptedConfiguration>> copied = copied(snapshot);
        if (snapshot.asOf() < mFirstOffset || copied.isEmpty()) {
            return advance(offset, RecordOutcome.UNDECIDED);
        }
        return new ApplyResult(
                recover(offset, snapshot.asOf(), copied.get()), RecordOutcome.RECOVERED);
    }

    /** Returns what the snapshot holds, or empty if it is invalid; version -1 stands for none. */
    private static Optional<Optional<AcceptedConfiguration>> copied(Snapshot snapshot) {
        if (snapshot.version().equals(NO_VERSION)) {
            return Optional.of(Optional.empty());
        }
        Validation<Seq<ManifestError>, Manifest> parsed = ManifestParser.parse(snapshot.manifest());
        if (parsed.isInvalid()) {
            return Optional.empty();
        }
        return Optional.of(
                Optional.of(
                        new AcceptedConfiguration(
                                snapshot.version(), parsed.get(), snapshot.manifest())));
    }

    private ConfigurationHistory recover(
            long offset, long asOf, Optional<AcceptedConfiguration> copied) {
        ConfigurationHistory history =
                new ConfigurationHistory(asOf, asOf, true, copied, offset, Vector.empty());
        for (PendingPublication pending : mPending) {
            if (pending.offset() >= asOf) {
                history = history.publication(pending.offset(), pending.manifest()).history();
            }
        }
        boolean isCurrent = history.version().equals(versionOf(copied));
        return history.with(
                offset + 1,
                history.mCurrent,
                isCurrent ? offset : history.mLastSnapshotOffset,
                Vector.empty());
    }

    private static ConfigurationVersion versionOf(Optional<AcceptedConfiguration> configuration) {
        return configuration.map(AcceptedConfiguration::version).orElse(NO_VERSION);
    }

    private ApplyResult advance(long offset, RecordOutcome outcome) {
        return new ApplyResult(with(offset + 1, mCurrent, mLastSnapshotOffset, mPending), outcome);
    }

    private ConfigurationHistory with(
            long nextOffset,
            Optional<AcceptedConfiguration> current,
            long lastSnapshotOffset,
            Vector<PendingPublication> pending) {
        return new ConfigurationHistory(
                mFirstOffset, nextOffset, mDecided, current, lastSnapshotOffset, pending);
    }
}
