package org.hickorycleat.model.message;

/** First message on a link between processes of the fleet; resent as its keep-alive. */
public record FleetHello(FleetNode node) implements Message {}
