package org.hickorycleat.logic.invocation;

import java.util.Optional;
import org.hickorycleat.model.identifier.IdempotencyKey;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.message.Invoke;

/**
 * An idempotency key within the scope of its service and team; teams that choose the same key must
 * not share a response.
 */
record ScopedKey(ServiceName service, TeamName team, IdempotencyKey key) {
    static Optional<ScopedKey> of(Invoke invoke) {
        return invoke.idempotencyKey()
                .map(key -> new ScopedKey(invoke.service(), invoke.team(), key));
    }
}
