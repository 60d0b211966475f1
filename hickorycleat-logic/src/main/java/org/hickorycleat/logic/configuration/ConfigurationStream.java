package org.hickorycleat.logic.configuration;

import org.hickorycleat.logic.log.RecordIdReader;
import org.hickorycleat.model.configuration.ConfigurationRecord;
import org.hickorycleat.model.configuration.ConfigurationRecordCodec;
import org.hickorycleat.model.identifier.StreamName;

/** The stream on which manifests are published. */
public final class ConfigurationStream {
    /** Name of the stream. */
    public static final StreamName NAME = new StreamName("configuration");

    /** Reads the identities of the stream's records. */
    public static final RecordIdReader RECORD_IDS =
            payload -> ConfigurationRecordCodec.decode(payload).map(ConfigurationRecord::id);

    private ConfigurationStream() {}
}
