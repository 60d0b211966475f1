package org.hickorycleat.cli.admin;

import com.fasterxml.jackson.databind.JsonNode;

/** Response of one process. */
record AdminResponse(AdminAddress address, JsonNode json) {}
