import com.sun.net.httpserver.HttpExchange;
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

/** The platform's store: keyed topics with one partition, fenced producers and long polls. */
final class Store {
    private static final int PAGE_BYTES = 1 << 20;
    private static final int PAGE_ITEMS = 500;
    private static final int MAXIMUM_RECORD_BYTES = 262_144;

    private final Map<String, Topic> mTopics = new HashMap<>();
    private final long mKeepMs;
    private volatile Gate mGate = (caller, write) -> Fault.NONE;

    /** What the store does with a call. */
    enum Fault {
        NONE,
        REJECT,
        SILENT,
        SLOW,
        LOSE_ANSWER
    }

    /** Decides what the store does with a call of a process, named by the address that it calls. */
    interface Gate {
        Fault fault(String caller, boolean write);
    }

    private static final class Topic {
        final List<byte[]> mRecords = new ArrayList<>();
        final List<Long> mAtMs = new ArrayList<>();
        final TreeMap<String, Object[]> mNewest = new TreeMap<>();
        final Map<String, Producer> mProducers = new HashMap<>();
        long mFirst;
    }

    private static final class Producer {
        long mEpoch = -1;
        long mSequence;
        final TreeMap<Long, String> mResponses = new TreeMap<>();
    }

    Store(long keepMs) {
        mKeepMs = keepMs;
    }

    void setGate(Gate gate) {
        mGate = gate;
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    /** Appends a record as the operator does. */
    synchronized void put(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream record = new ByteArrayOutputStream();
        record.write(name.length);
        record.writeBytes(name);
        record.writeBytes(value.getBytes(StandardCharsets.UTF_8));
        add(topic(topic), record.toByteArray());
        notifyAll();
    }

    private Topic topic(String name) {
        return mTopics.computeIfAbsent(name, key -> new Topic());
    }

    private static void add(Topic topic, byte[] record) {
        int keyLength = Byte.toUnsignedInt(record[0]);
        String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
        long offset = topic.mRecords.size();
        topic.mRecords.add(record);
        topic.mAtMs.add(nowMs());
        if (record.length == 1 + keyLength) {
            topic.mNewest.remove(key);
        } else {
            byte[] value = new byte[record.length - 1 - keyLength];
            System.arraycopy(record, 1 + keyLength, value, 0, value.length);
            topic.mNewest.put(key, new Object[] {offset, value});
        }
    }

    void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        String path = exchange.getRequestURI().getPath();
        String caller = exchange.getLocalAddress().getAddress().getHostAddress();
        boolean write = path.equals("/log-append");
        Fault fault = mGate.fault(caller, write);
        try {
            if (fault == Fault.SILENT) {
                Thread.sleep(3_000);
                exchange.close();
                return;
            }
            if (fault == Fault.REJECT) {
                Http.respond(exchange, 503, "{}");
                return;
            }
            Thread.sleep(fault == Fault.SLOW ? 200 : 2);
            switch (path) {
                case "/log-append" -> {
                    String[] answer = append(query, body);
                    if (fault == Fault.LOSE_ANSWER) {
                        exchange.close();
                        return;
                    }
                    Http.respond(exchange, Integer.parseInt(answer[0]), answer[1]);
                }
                case "/log-read" -> read(exchange, query);
                case "/log-newest" -> Http.respond(exchange, 200, newest(query));
                default -> Http.respond(exchange, 404, "{}");
            }
        } catch (InterruptedException e) {
            exchange.close();
        }
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String pair : (text == null ? "" : text).split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                query.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private synchronized String[] append(Map<String, String> query, byte[] body) {
        Topic topic = topic(query.get("topic"));
        List<byte[]> records = new ArrayList<>();
        ByteBuffer content = ByteBuffer.wrap(body);
        while (content.hasRemaining()) {
            byte[] record = new byte[content.getInt()];
            content.get(record);
            if (record.length > MAXIMUM_RECORD_BYTES) {
                return new String[] {"400", "{}"};
            }
            records.add(record);
        }
        Producer producer = null;
        long sequence = 0;
        if (query.containsKey("producer")) {
            producer = topic.mProducers.computeIfAbsent(query.get("producer"), k -> new Producer());
            long epoch = Long.parseLong(query.get("epoch"));
            sequence = Long.parseLong(query.getOrDefault("seq", "0"));
            if (epoch < producer.mEpoch) {
                return new String[] {"409", "{\"reason\":\"fenced\"}"};
            }
            if (epoch == producer.mEpoch) {
                if (producer.mResponses.containsKey(sequence)) {
                    return new String[] {"200", producer.mResponses.get(sequence)};
                }
                if (sequence != producer.mSequence + 1) {
                    return new String[] {
                        "409", "{\"reason\":\"seq\",\"seq\":" + (producer.mSequence + 1) + "}"
                    };
                }
            } else {
                producer.mEpoch = epoch;
                producer.mResponses.clear();
            }
            producer.mSequence = sequence;
        }
        long offset = topic.mRecords.size();
        records.forEach(record -> add(topic, record));
        String answer = "{\"offset\":" + offset + ",\"end_offset\":" + topic.mRecords.size() + "}";
        if (producer != null) {
            producer.mResponses.put(sequence, answer);
            while (producer.mResponses.size() > 5) {
                producer.mResponses.pollFirstEntry();
            }
        }
        notifyAll();
        return new String[] {"200", answer};
    }

    private void read(HttpExchange exchange, Map<String, String> query)
            throws IOException, InterruptedException {
        long from = Long.parseLong(query.get("from"));
        long untilMs = nowMs() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        ByteArrayOutputStream page = new ByteArrayOutputStream();
        long first;
        synchronized (this) {
            Topic topic = topic(query.get("topic"));
            while (topic.mRecords.size() <= from && nowMs() < untilMs) {
                wait(Math.max(1, untilMs - nowMs()));
            }
            while (topic.mFirst < topic.mRecords.size()
                    && nowMs() - topic.mAtMs.get((int) topic.mFirst) > mKeepMs) {
                topic.mRecords.set((int) topic.mFirst, new byte[0]);
                topic.mFirst++;
            }
            first = topic.mFirst;
            page.writeBytes(
                    ByteBuffer.allocate(16).putLong(topic.mRecords.size()).putLong(first).array());
            for (long i = from; from >= first && i < topic.mRecords.size(); i++) {
                byte[] record = topic.mRecords.get((int) i);
                page.writeBytes(ByteBuffer.allocate(4).putInt(record.length).array());
                page.writeBytes(record);
                if (page.size() > PAGE_BYTES) {
                    break;
                }
            }
        }
        if (from < first) {
            Http.respond(exchange, 410, "{\"first_offset\":" + first + "}");
            return;
        }
        Http.respond(exchange, 200, page.toByteArray());
    }

    private synchronized String newest(Map<String, String> query) {
        Topic topic = topic(query.get("topic"));
        StringBuilder items = new StringBuilder();
        boolean hasMore = false;
        int count = 0;
        String after = query.getOrDefault("after", "");
        for (Map.Entry<String, Object[]> entry : topic.mNewest.tailMap(after, false).entrySet()) {
            if (count == PAGE_ITEMS || items.length() > PAGE_BYTES) {
                hasMore = true;
                break;
            }
            items.append(count++ == 0 ? "" : ",")
                    .append("{\"key\":")
                    .append(Json.quote(entry.getKey()))
                    .append(",\"offset\":")
                    .append(entry.getValue()[0])
                    .append(",\"value\":\"")
                    .append(Base64.getEncoder().encodeToString((byte[]) entry.getValue()[1]))
                    .append("\"}");
        }
        return "{\"items\":["
                + items
                + "],\"has_more\":"
                + hasMore
                + ",\"end_offset\":"
                + topic.mRecords.size()
                + "}";
    }
}
