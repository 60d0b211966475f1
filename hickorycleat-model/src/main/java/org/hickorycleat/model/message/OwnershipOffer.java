package org.hickorycleat.model.message;

import org.hickorycleat.model.identifier.Epoch;

/** Offers the ownership of the jobs to a peer; the epoch is that of the current owner. */
public record OwnershipOffer(Epoch epoch) implements Message {}
