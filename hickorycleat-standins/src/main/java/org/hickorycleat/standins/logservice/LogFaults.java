package org.hickorycleat.standins.logservice;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Faults that the stand-in injects.
 *
 * @param outage how every request is handled during an outage
 * @param delayMs milliseconds added to each request, half of them before and half after it is
 *     applied
 * @param lostResponseRate share of appends from 0 to 1 that are applied and whose connection is
 *     then closed without a response
 * @param appendLimitPerSecond appends per second beyond which appends are rejected with status 429;
 *     0 for no limit
 */
public record LogFaults(
        LogOutage outage, long delayMs, double lostResponseRate, int appendLimitPerSecond) {
    /** No faults. */
    public static final LogFaults NONE = new LogFaults(LogOutage.NONE, 0, 0, 0);

    /** Checks the ranges. */
    public LogFaults {
        if (delayMs < 0 || appendLimitPerSecond < 0) {
            throw new IllegalArgumentException("negative delay or limit");
        }
        if (!(lostResponseRate >= 0 && lostResponseRate <= 1)) {
            throw new IllegalArgumentException("lose_answer_rate is not from 0 to 1");
        }
    }

    /** Returns these faults with the fields that the JSON object contains replaced. */
    LogFaults with(JsonNode json) {
        String outageName = json.path("outage").asText(outage.wireName());
        LogOutage changed =
                LogOutage.ofWireName(outageName)
                        .orElseThrow(() -> new IllegalArgumentException("outage: " + outageName));
        return new LogFaults(
                changed,
                json.path("delay_ms").asLong(delayMs),
                json.path("lose_answer_rate").asDouble(lostResponseRate),
                json.path("append_limit_per_second").asInt(appendLimitPerSecond));
    }
}
