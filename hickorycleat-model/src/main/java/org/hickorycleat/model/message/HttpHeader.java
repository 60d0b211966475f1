package org.hickorycleat.model.message;

/** A header of an HTTP exchange. */
public record HttpHeader(String name, String value) {}
