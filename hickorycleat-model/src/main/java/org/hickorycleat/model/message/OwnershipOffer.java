package org.hickorycleat.model.message;

import org.hickorycleat.model.identifier.Epoch;

/** Asks a peer to become the next owner, after the owner with this epoch. */
public record OwnershipOffer(Epoch epoch) implements Message {}
