package org.hickorycleat.cli.admin;

import com.fasterxml.jackson.databind.JsonNode;

/** Answer of one process. */
record AdminResponse(AdminAddress address, JsonNode json) {}
