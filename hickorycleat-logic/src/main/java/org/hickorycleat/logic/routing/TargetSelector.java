package org.hickorycleat.logic.routing;

import java.util.Optional;
import java.util.function.Predicate;
import org.hickorycleat.model.identifier.ServiceName;

/** Chooses a target for one attempt of a request and counts the attempt against the target. */
@FunctionalInterface
public interface TargetSelector {
    /** Reserves capacity at an eligible target; empty if none can accept the request now. */
    Optional<TargetReservation> reserve(ServiceName service, Predicate<TargetAddress> eligible);
}
