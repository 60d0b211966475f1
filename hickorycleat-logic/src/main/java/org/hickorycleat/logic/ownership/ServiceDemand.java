package org.hickorycleat.logic.ownership;

import org.hickorycleat.model.manifest.ServiceSpecification;
import org.hickorycleat.model.task.Resources;

/** A service whose instances the shard places, with the resources of one instance. */
public record ServiceDemand(ServiceSpecification service, Resources resources) {}
