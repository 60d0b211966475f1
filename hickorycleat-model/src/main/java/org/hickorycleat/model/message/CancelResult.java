package org.hickorycleat.model.message;

import java.util.Optional;
import org.hickorycleat.model.identifier.RequestId;

/** Response to {@link Cancel}. */
public record CancelResult(RequestId request, CancelState state, Optional<InvokeResult> result)
        implements Message {}
