package org.hickorycleat.cli.admin;

import com.fasterxml.jackson.databind.JsonNode;

/** Answer of one process. */
record AdminAnswer(AdminAddress address, JsonNode json) {}
