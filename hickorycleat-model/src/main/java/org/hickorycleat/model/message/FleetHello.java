package org.hickorycleat.model.message;

/** First message of a link between processes of the fleet, and its keep-alive. */
public record FleetHello(FleetNode node) implements Message {}
