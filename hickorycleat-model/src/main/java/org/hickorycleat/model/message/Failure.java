package org.hickorycleat.model.message;

import org.hickorycleat.model.result.ResultCode;

/** Reports a protocol error before the connection closes. */
public record Failure(ResultCode code, String detail) implements Message {}
