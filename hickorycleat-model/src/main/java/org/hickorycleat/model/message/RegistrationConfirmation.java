package org.hickorycleat.model.message;

import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.identifier.ServiceName;

/**
 * Tells an agent that its run is registered for an instance, so that it may serve keys.
 *
 * @param service the service
 * @param instance the instance
 * @param firstRegistration whether no other run has served the instance before
 */
public record RegistrationConfirmation(
        ServiceName service, InstanceNumber instance, boolean firstRegistration)
        implements Message {}
