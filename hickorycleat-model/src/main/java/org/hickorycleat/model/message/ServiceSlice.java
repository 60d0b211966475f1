package org.hickorycleat.model.message;

import org.hickorycleat.model.identifier.ServiceName;

/**
 * What an agent needs to know of a service.
 *
 * @param service the service
 * @param instances number of instances, which idempotency keys are mapped to
 * @param slots requests that one target runs at once
 * @param connections connections that one target accepts
 */
public record ServiceSlice(ServiceName service, int instances, int slots, int connections) {}
