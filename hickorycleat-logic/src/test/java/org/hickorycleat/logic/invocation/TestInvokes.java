package org.hickorycleat.logic.invocation;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.IdempotencyKey;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.RequestId;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.manifest.Criticality;
import org.hickorycleat.model.message.Invoke;

/** Creates request messages for tests. */
final class TestInvokes {
    static final ProcessId ENTRY = new ProcessId("entry");
    static final Incarnation INCARNATION = new Incarnation(1);
    static final ServiceName SERVICE = new ServiceName("booking");
    static final ConfigurationVersion MAPPING_VERSION = new ConfigurationVersion(7);

    private TestInvokes() {}

    static RequestId request(long counter) {
        return new RequestId(ENTRY, INCARNATION, counter);
    }

    static Invoke invoke(long counter) {
        return invoke(counter, Criticality.NORMAL, 1_000, Optional.empty(), "body", 0);
    }

    static Invoke invoke(long counter, Criticality criticality, long remainingMs) {
        return invoke(counter, criticality, remainingMs, Optional.empty(), "body", 0);
    }

    static Invoke acknowledging(long counter, long below) {
        return invoke(counter, Criticality.NORMAL, 1_000, Optional.empty(), "body", below);
    }

    static Invoke keyed(long counter, String key, String body) {
        Optional<IdempotencyKey> idempotencyKey = Optional.of(new IdempotencyKey(key));
        return invoke(counter, Criticality.NORMAL, 1_000, idempotencyKey, body, 0);
    }

    private static Invoke invoke(
            long counter,
            Criticality criticality,
            long remainingMs,
            Optional<IdempotencyKey> key,
            String body,
            long acknowledgedBelow) {
        return new Invoke(
                request(counter),
                SERVICE,
                new InstanceNumber(0),
                "POST",
                "/",
                List.of(),
                body.getBytes(StandardCharsets.UTF_8),
                criticality,
                new TeamName("team"),
                remainingMs,
                false,
                key,
                MAPPING_VERSION,
                acknowledgedBelow);
    }
}
