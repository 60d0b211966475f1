package org.hickorycleat.model.message;

import org.hickorycleat.model.identifier.Epoch;

/** Offers a peer to become the next owner; the epoch is that of the current owner. */
public record OwnershipOffer(Epoch epoch) implements Message {}
