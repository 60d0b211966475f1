package org.hickorycleat.cli.log;

import java.io.IOException;
import java.util.function.BiConsumer;
import org.hickorycleat.model.configuration.ConfigurationHistory;

/** Reads the stream {@code configuration} from its oldest retained record to its end. */
final class HistoryReader {
    private final LogClient mLog;
    private ConfigurationHistory mHistory = ConfigurationHistory.startingAt(0);

    HistoryReader(LogClient log) {
        mLog = log;
    }

    /** Returns the configuration at the last offset read. */
    ConfigurationHistory history() {
        return mHistory;
    }

    /**
     * Reads the records that were not read before.
     *
     * @param listener receives each record and its result
     */
    void readToEnd(
            BiConsumer<LogReadResult.StreamRecord, ConfigurationHistory.ApplyResult> listener)
            throws IOException {
        while (true) {
            LogReadResult read = mLog.read(mHistory.nextOffset());
            if (read.isTruncated()) {
                mHistory = ConfigurationHistory.startingAt(read.firstOffset());
            } else if (read.records().isEmpty()) {
                return;
            }
            for (LogReadResult.StreamRecord record : read.records()) {
                ConfigurationHistory.ApplyResult result =
                        mHistory.apply(record.offset(), record.payload());
                mHistory = result.history();
                listener.accept(record, result);
            }
        }
    }
}
