package org.hickorycleat.logic.port;

import io.reactivex.rxjava3.core.Single;
import java.time.Duration;
import org.hickorycleat.model.identifier.StreamName;

/** The append-only log service of the platform. */
public interface LogService {
    /**
     * Appends a record and returns its offset.
     *
     * <p>Fails with {@link LogUnavailableException} when no response arrived; the append may then
     * have been committed.
     */
    Single<Long> append(StreamName stream, byte[] payload);

    /**
     * Reads records from an offset, waiting up to {@code wait} if there are none yet.
     *
     * <p>Fails with {@link LogTruncatedException} when the offset is older than the retention.
     */
    Single<LogPage> read(StreamName stream, long fromOffset, int limit, Duration wait);
}
