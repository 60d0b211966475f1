package org.hickorycleat.model.message;

import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.IdempotencyKey;
import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.identifier.RequestId;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.manifest.Criticality;

/** Sends a request to the agent of one instance. */
@SuppressWarnings(
        "ArrayRecordComponent") // Shared without copying: bodies are large and never modified.
public record Invoke(
        RequestId request,
        ServiceName service,
        InstanceNumber instance,
        String method,
        String path,
        List<HttpHeader> headers,
        byte[] body,
        Criticality criticality,
        TeamName team,
        long remainingMs,
        boolean idempotent,
        Optional<IdempotencyKey> idempotencyKey,
        ConfigurationVersion mappingVersion,
        long acknowledgedBelow)
        implements Message {
    /** Copies the collections. */
    public Invoke {
        headers = List.copyOf(headers);
    }
}
