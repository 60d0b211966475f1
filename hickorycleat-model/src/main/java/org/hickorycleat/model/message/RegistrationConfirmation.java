package org.hickorycleat.model.message;

import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.identifier.ServiceName;

/**
 * Confirms to an agent that its incarnation is registered for an instance, so that it may serve
 * requests with idempotency keys.
 *
 * @param service service of the instance
 * @param instance instance number
 * @param firstRegistration whether no other incarnation has served the instance before
 */
public record RegistrationConfirmation(
        ServiceName service, InstanceNumber instance, boolean firstRegistration)
        implements Message {}
