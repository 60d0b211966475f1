package org.hickorycleat.logic.routing;

import java.util.Optional;
import java.util.function.Predicate;
import org.hickorycleat.model.identifier.ServiceName;

/** Chooses a target for one attempt of a request and counts the attempt against the target. */
@FunctionalInterface
public interface TargetSelector {
    /** Reserves room at an eligible target; empty when none can take the request now. */
    Optional<TargetReservation> reserve(ServiceName service, Predicate<TargetAddress> eligible);
}
