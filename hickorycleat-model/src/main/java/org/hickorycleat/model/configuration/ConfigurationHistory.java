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
 * Computes the accepted configuration as a pure function of the records read; immutable.
 *
 * <p>A reader that begins after the start of the stream does not know the current version. It
 * recovers the version from a snapshot whose writer had read at least up to the offset where this
 * reader began, and then evaluates the publications between that writer's read offset and the
 * snapshot. An earlier snapshot is not sufficient, because retention may have removed a manifest
 * that was accepted after it.
 */
public final class ConfigurationHistory {
    private static final ConfigurationVersion NO_VERSION = new ConfigurationVersion(-1);

    private final long mFirstOffset;
    private final long mNextOffset;
    private final boolean mVersionKnown;
    private final Optional<AcceptedConfiguration> mCurrent;
    private final long mLastSnapshotOffset;
    private final Vector<PendingPublication> mPending;

    private ConfigurationHistory(
            long firstOffset,
            long nextOffset,
            boolean versionKnown,
            Optional<AcceptedConfiguration> current,
            long lastSnapshotOffset,
            Vector<PendingPublication> pending) {
        mFirstOffset = firstOffset;
        mNextOffset = nextOffset;
        mVersionKnown = versionKnown;
        mCurrent = current;
        mLastSnapshotOffset = lastSnapshotOffset;
        mPending = pending;
    }

    /** A publication read before the current version was known. */
    @SuppressWarnings("ArrayRecordComponent") // Shared without copying; never modified.
    private record PendingPublication(long offset, byte[] manifest) {}

    /** The history after a record and the outcome of that record. */
    public record ApplyResult(ConfigurationHistory history, RecordOutcome outcome) {}

    /**
     * Returns the history of a reader that begins at the given offset; the version is known from
     * the start only at offset 0.
     */
    public static ConfigurationHistory startingAt(long firstOffset) {
        return new ConfigurationHistory(
                firstOffset, firstOffset, firstOffset == 0, Optional.empty(), -1, Vector.empty());
    }

    /**
     * Applies the next record. An offset that was already applied changes nothing. After a gap in
     * the offsets the current version is unknown, as for a reader that begins at this offset.
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
                ? applySnapshot(offset, snapshot)
                : applyPublication(offset, decoded.get().manifest());
    }

    /** Returns whether the current version is known; a known version may be -1. */
    public boolean isVersionKnown() {
        return mVersionKnown;
    }

    /** Returns the current configuration; empty if none was accepted or the version is unknown. */
    public Optional<AcceptedConfiguration> current() {
        return mCurrent;
    }

    /** Returns the current version; -1 if none was accepted or the version is unknown. */
    public ConfigurationVersion version() {
        return versionOf(mCurrent);
    }

    /** Returns the offset to read next. */
    public long nextOffset() {
        return mNextOffset;
    }

    /**
     * Returns the offset of the newest snapshot of the manifest that was current at that offset; -1
     * for none. Publications do not count, because a reader that begins after the start of the
     * stream cannot evaluate them.
     */
    public long lastSnapshotOffset() {
        return mLastSnapshotOffset;
    }

    private ApplyResult applyPublication(long offset, byte[] manifest) {
        if (!mVersionKnown) {
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

    private ApplyResult applySnapshot(long offset, Snapshot snapshot) {
        if (mVersionKnown) {
            boolean isCurrent = snapshot.version().equals(version());
            return new ApplyResult(
                    with(offset + 1, mCurrent, isCurrent ? offset : mLastSnapshotOffset, mPending),
                    RecordOutcome.SNAPSHOT);
        }
        Optional<Optional<AcceptedConfiguration>> content = snapshotContent(snapshot);
        if (snapshot.asOf() < mFirstOffset || content.isEmpty()) {
            return advance(offset, RecordOutcome.UNDECIDED);
        }
        return new ApplyResult(
                recover(offset, snapshot.asOf(), content.get()), RecordOutcome.RECOVERED);
    }

    /**
     * Returns the configuration in the snapshot, or empty if its manifest is invalid; version -1
     * represents no configuration.
     */
    private static Optional<Optional<AcceptedConfiguration>> snapshotContent(Snapshot snapshot) {
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
            long offset, long asOf, Optional<AcceptedConfiguration> snapshotContent) {
        ConfigurationHistory history =
                new ConfigurationHistory(asOf, asOf, true, snapshotContent, offset, Vector.empty());
        for (PendingPublication pending : mPending) {
            if (pending.offset() >= asOf) {
                history = history.applyPublication(pending.offset(), pending.manifest()).history();
            }
        }
        boolean isCurrent = history.version().equals(versionOf(snapshotContent));
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
                mFirstOffset, nextOffset, mVersionKnown, current, lastSnapshotOffset, pending);
    }
}
