package org.hickorycleat.daemon.fleet;

import io.reactivex.rxjava3.core.Single;
import java.io.ByteArrayOutputStream;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.logic.port.HttpHandler;
import org.hickorycleat.logic.port.HttpRequest;
import org.hickorycleat.logic.port.HttpResponse;
import org.hickorycleat.model.store.StoreRecord;

/**
 * Simulates a store of keyed topics with fenced producers that speaks the platform's wire protocol.
 */
final class StoreStandIn implements HttpHandler {
    private static final long LONG_POLL_MS = 50;

    /** Size of the records above which a page of the store ends, in bytes. */
    private static final int PAGE_BYTES = 1 << 20;

    private final Map<String, List<byte[]>> mTopics = new HashMap<>();
    private final Map<String, long[]> mProducers = new HashMap<>();
    private final Set<String> mTopicsWithoutNewestReads = ConcurrentHashMap.newKeySet();
    private volatile boolean mDown;

    /**
     * Sets whether the store is down; a store that is down rejects every request with status 503.
     */
    void setDown(boolean down) {
        mDown = down;
    }

    /** Rejects reads of the newest records of a topic, which a process loads when it starts. */
    void rejectNewestReads(String topic) {
        mTopicsWithoutNewestReads.add(topic);
    }

    /** Accepts reads of the newest records of all topics again. */
    void acceptNewestReads() {
        mTopicsWithoutNewestReads.clear();
    }

    /** Returns the newest record of a key, as an operator reads it. */
    synchronized Optional<StoreRecord> newestRecord(String topic, String key) {
        List<byte[]> records = topic(topic);
        for (int offset = records.size() - 1; offset >= 0; offset--) {
            StoreRecord record = record(records.get(offset), offset);
            if (record.key().equals(key)) {
                return Optional.of(record);
            }
        }
        return Optional.empty();
    }

    private static StoreRecord record(byte[] content, long offset) {
        ByteBuffer record = ByteBuffer.wrap(content);
        byte[] key = new byte[record.get()];
        record.get(key);
        byte[] value = new byte[record.remaining()];
        record.get(value);
        return new StoreRecord(offset, new String(key, StandardCharsets.UTF_8), value);
    }

    /** Appends a record as the operator does. */
    void put(String topic, String key, String value) {
        put(topic, key, value.getBytes(StandardCharsets.UTF_8));
    }

    /** Appends a record without a producer. */
    synchronized void put(String topic, String key, byte[] value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream record = new ByteArrayOutputStream();
        record.write(name.length);
        record.writeBytes(name);
        record.writeBytes(value);
        topic(topic).add(record.toByteArray());
    }

    private List<byte[]> topic(String topic) {
        return mTopics.computeIfAbsent(topic, name -> new ArrayList<>());
    }

    @Override
    public Single<HttpResponse> handle(HttpRequest request) {
        if (mDown) {
            return Single.just(text(503, "{}"));
        }
        Map<String, String> query = query(request.query());
        return switch (request.path()) {
            case "/log-append" -> Single.just(append(query, request.body()));
            case "/log-read" -> read(query);
            case "/log-newest" -> Single.just(newest(query));
            default -> Single.just(text(404, "{}"));
        };
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String pair : text.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                query.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
        }
        return query;
    }

    private synchronized HttpResponse append(Map<String, String> query, byte[] body) {
        String topicName = query.getOrDefault("topic", "");
        if (query.containsKey("producer")) {
            long epoch = Long.parseLong(query.get("epoch"));
            long sequence = Long.parseLong(query.get("seq"));
            long[] state =
                    mProducers.computeIfAbsent(
                            topicName + query.get("producer"), name -> new long[] {-1, 0, 0});
            if (epoch < state[0]) {
                return text(409, "{\"reason\":\"fenced\"}");
            }
            if (epoch == state[0] && sequence == state[1]) {
                return text(200, "{\"offset\":" + state[2] + "}");
            }
            if (epoch == state[0] && sequence != state[1] + 1) {
                return text(409, "{\"reason\":\"seq\",\"seq\":" + (state[1] + 1) + "}");
            }
            state[0] = epoch;
            state[1] = sequence;
            state[2] = topic(topicName).size();
        }
        List<byte[]> records = topic(topicName);
        int offset = records.size();
        ByteBuffer content = ByteBuffer.wrap(body);
        while (content.hasRemaining()) {
            byte[] record = new byte[content.getInt()];
            content.get(record);
            records.add(record);
        }
        return text(200, "{\"offset\":" + offset + ",\"end_offset\":" + records.size() + "}");
    }

    private Single<HttpResponse> read(Map<String, String> query) {
        HttpResponse page = page(query);
        boolean empty = page.body().length == 2 * Long.BYTES;
        return empty && query.containsKey("wait_ms")
                ? Single.timer(LONG_POLL_MS, TimeUnit.MILLISECONDS).map(tick -> page(query))
                : Single.just(page);
    }

    private synchronized HttpResponse page(Map<String, String> query) {
        List<byte[]> records = topic(query.getOrDefault("topic", ""));
        ByteArrayOutputStream page = new ByteArrayOutputStream();
        page.writeBytes(
                ByteBuffer.allocate(2 * Long.BYTES).putLong(records.size()).putLong(0).array());
        int from = (int) Math.min(records.size(), Long.parseLong(query.get("from")));
        for (byte[] record : records.subList(from, records.size())) {
            page.writeBytes(ByteBuffer.allocate(Integer.BYTES).putInt(record.length).array());
            page.writeBytes(record);
            if (page.size() > PAGE_BYTES) {
                break;
            }
        }
        return HttpResponse.of(200, page.toByteArray());
    }

    private synchronized HttpResponse newest(Map<String, String> query) {
        if (mTopicsWithoutNewestReads.contains(query.getOrDefault("topic", ""))) {
            return text(503, "{}");
        }
        List<byte[]> records = topic(query.getOrDefault("topic", ""));
        SortedMap<String, StoreRecord> newest = new TreeMap<>();
        for (int offset = 0; offset < records.size(); offset++) {
            StoreRecord record = record(records.get(offset), offset);
            if (record.value().length == 0) {
                newest.remove(record.key());
            } else {
                newest.put(record.key(), record);
            }
        }
        String after = URLDecoder.decode(query.getOrDefault("after", ""), StandardCharsets.UTF_8);
        StringBuilder items = new StringBuilder();
        boolean hasMore = false;
        for (StoreRecord record : newest.tailMap(after).values()) {
            if (record.key().equals(after)) {
                continue;
            }
            if (items.length() > PAGE_BYTES) {
                hasMore = true;
                break;
            }
            items.append(items.length() == 0 ? "" : ",").append(item(record));
        }
        return text(
                200,
                "{\"items\":["
                        + items
                        + "],\"has_more\":"
                        + hasMore
                        + ",\"end_offset\":"
                        + records.size()
                        + "}");
    }

    private static String item(StoreRecord record) {
        return "{\"key\":\""
                + record.key()
                + "\",\"offset\":"
                + record.offset()
                + ",\"value\":\""
                + Base64.getEncoder().encodeToString(record.value())
                + "\"}";
    }

    private static HttpResponse text(int status, String body) {
        return HttpResponse.of(status, body.getBytes(StandardCharsets.UTF_8));
    }
}
