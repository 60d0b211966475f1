package org.hickorycleat.model.message;

/** A header of an HTTP request or response. */
public record HttpHeader(String name, String value) {}
