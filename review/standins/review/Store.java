package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's store: keyed topics, producers with epochs, linearizable answers. Each process has
 * an address of its own, so that the store knows who wrote last under a condition.
 */
final class Store {
    private static final int ANSWER_MS = 4;
    private static final int PAGE_BYTES = 1 << 20;
    private static final int PAGE_ITEMS = 500;
    private static final int MAXIMUM_RECORD_BYTES = 262_144;
    private static final int MAXIMUM_CALL_BYTES = 2_097_152;
    private static final int REMEMBERED_APPENDS = 5;

    private record Item(long offset, String key, byte[] value) {}

    private record Done(long sequence, String answer) {}

    private static final class ProducerState {
        private long mEpoch = -1;
        private long mSequence;
        private final List<Done> mLast = new ArrayList<>();
    }

    private final Record mRecord;
    private final Map<String, List<byte[]>> mTopics = new HashMap<>();
    private final Map<String, ProducerState> mProducers = new HashMap<>();
    private String mLastConditionalWriter = "";
    private boolean mSilent;
    private volatile String mBusyTopic = "";

    Store(Record record) {
        mRecord = record;
    }

    HttpServer serve(String node, String host, int port) throws IOException {
        return Http.serve(host, port, exchange -> handle(node, exchange));
    }

    /** While the store is silent, it does nothing and answers nothing. */
    synchronized void setSilent(boolean silent) {
        mSilent = silent;
        mRecord.line("store %s", silent ? "is down (silent)" : "is up");
        notifyAll();
    }

    /** The partitions of a topic are down: its calls are answered 503; empty for none. */
    void setBusyTopic(String topic) {
        mBusyTopic = topic;
        mRecord.line("partitions that are down: %s", topic.isEmpty() ? "none" : topic + "/0");
    }

    /** Returns the process that last wrote under a condition. */
    synchronized String lastConditionalWriter() {
        return mLastConditionalWriter;
    }

    synchronized void put(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream record = new ByteArrayOutputStream();
        record.write(name.length);
        record.writeBytes(name);
        record.writeBytes(value.getBytes(StandardCharsets.UTF_8));
        topic(topic).add(record.toByteArray());
        notifyAll();
    }

    private List<byte[]> topic(String name) {
        return mTopics.computeIfAbsent(name, key -> new ArrayList<>());
    }

    private void handle(String node, HttpExchange exchange) throws Exception {
        byte[] body = exchange.getRequestBody().readAllBytes();
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        synchronized (this) {
            if (mSilent) {
                while (mSilent) {
                    wait();
                }
                exchange.close();
                return;
            }
        }
        Thread.sleep(ANSWER_MS);
        if (mBusyTopic.equals(query.get("topic"))) {
            Http.answer(exchange, 503, "{}");
            return;
        }
        switch (exchange.getRequestURI().getPath()) {
            case "/log-append" -> append(node, exchange, query, body);
            case "/log-read" -> read(exchange, query);
            case "/log-newest" -> Http.answer(exchange, 200, newest(query));
            default -> Http.answer(exchange, 404, "{}");
        }
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String pair : text == null ? new String[0] : text.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                query.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private void append(String node, HttpExchange exchange, Map<String, String> query, byte[] body)
            throws IOException {
        List<byte[]> records = new ArrayList<>();
        ByteBuffer content = ByteBuffer.wrap(body);
        while (content.hasRemaining()) {
            byte[] record = new byte[content.getInt()];
            content.get(record);
            records.add(record);
        }
        boolean tooLarge =
                body.length > MAXIMUM_CALL_BYTES
                        || records.stream().anyMatch(one -> one.length > MAXIMUM_RECORD_BYTES);
        if (tooLarge) {
            mRecord.line("store: append of %d bytes by %s is too large", body.length, node);
            Http.answer(exchange, 400, "{}");
            return;
        }
        int status = 200;
        String answer;
        synchronized (this) {
            List<byte[]> topic = topic(query.get("topic"));
            ProducerState producer = null;
            if (query.containsKey("producer")) {
                producer =
                        mProducers.computeIfAbsent(
                                query.get("topic") + " " + query.get("producer"),
                                key -> new ProducerState());
                long epoch = Long.parseLong(query.get("epoch"));
                long sequence = Long.parseLong(query.get("seq"));
                if (epoch < producer.mEpoch) {
                    Http.answer(exchange, 409, "{\"reason\":\"fenced\"}");
                    return;
                }
                if (epoch == producer.mEpoch) {
                    for (Done done : producer.mLast) {
                        if (done.sequence() == sequence) {
                            Http.answer(exchange, 200, done.answer());
                            return;
                        }
                    }
                    if (sequence != producer.mSequence + 1) {
                        Http.answer(
                                exchange,
                                409,
                                "{\"reason\":\"seq\",\"seq\":" + (producer.mSequence + 1) + "}");
                        return;
                    }
                } else {
                    producer.mLast.clear();
                }
                producer.mEpoch = epoch;
                producer.mSequence = sequence;
                mLastConditionalWriter = node;
            }
            long offset = topic.size();
            topic.addAll(records);
            answer = "{\"offset\":" + offset + ",\"end_offset\":" + topic.size() + "}";
            if (producer != null) {
                producer.mLast.add(new Done(producer.mSequence, answer));
                if (producer.mLast.size() > REMEMBERED_APPENDS) {
                    producer.mLast.remove(0);
                }
            }
            notifyAll();
        }
        Http.answer(exchange, status, answer);
    }

    private void read(HttpExchange exchange, Map<String, String> query) throws Exception {
        int from = Integer.parseInt(query.get("from"));
        long untilMs = Clock.nowMs() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        byte[] page;
        synchronized (this) {
            List<byte[]> topic = topic(query.get("topic"));
            while (topic.size() <= from && Clock.nowMs() < untilMs) {
                wait(Math.max(1, untilMs - Clock.nowMs()));
            }
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.writeBytes(
                    ByteBuffer.allocate(2 * Long.BYTES).putLong(topic.size()).putLong(0).array());
            for (int i = from; i < topic.size() && out.size() < PAGE_BYTES; i++) {
                out.writeBytes(
                        ByteBuffer.allocate(Integer.BYTES).putInt(topic.get(i).length).array());
                out.writeBytes(topic.get(i));
            }
            page = out.toByteArray();
        }
        Http.answer(exchange, 200, page);
    }

    private synchronized String newest(Map<String, String> query) throws IOException {
        TreeMap<String, Item> newest = new TreeMap<>();
        List<byte[]> topic = topic(query.get("topic"));
        for (int i = 0; i < topic.size(); i++) {
            ByteBuffer record = ByteBuffer.wrap(topic.get(i));
            byte[] key = new byte[Byte.toUnsignedInt(record.get())];
            record.get(key);
            byte[] value = new byte[record.remaining()];
            record.get(value);
            String name = new String(key, StandardCharsets.UTF_8);
            if (value.length == 0) {
                newest.remove(name);
            } else {
                newest.put(name, new Item(i, name, value));
            }
        }
        List<Map<String, Object>> items = new ArrayList<>();
        boolean hasMore = false;
        long bytes = 0;
        for (Item item : newest.tailMap(query.getOrDefault("after", ""), false).values()) {
            if (items.size() == PAGE_ITEMS || bytes > PAGE_BYTES) {
                hasMore = true;
                break;
            }
            bytes += item.value().length;
            items.add(
                    Map.of(
                            "key", item.key(),
                            "value", Base64.getEncoder().encodeToString(item.value()),
                            "offset", item.offset()));
        }
        return Http.JSON.writeValueAsString(
                Map.of("items", items, "has_more", hasMore, "end_offset", topic.size()));
    }
}
