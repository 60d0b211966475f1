package org.hickorycleat.logic.invocation;

import java.util.Optional;
import org.hickorycleat.model.identifier.IdempotencyKey;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.message.Invoke;

/** A key within its scope; teams that happen to choose the same key must not share an answer. */
record KeyId(ServiceName service, TeamName team, IdempotencyKey key) {
    static Optional<KeyId> of(Invoke invoke) {
        return invoke.idempotencyKey().map(key -> new KeyId(invoke.service(), invoke.team(), key));
    }
}
