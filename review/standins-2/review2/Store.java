package review2;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in of the platform's store: keyed topics with one partition and fenced producers. */
final class Store {
    private static final int PAGE_BYTES = 1 << 20;
    private static final int PAGE_ITEMS = 500;
    private static final int REMEMBERED_APPENDS = 5;
    private static final long LOST_ANSWER_MS = 10_000;

    private final Map<String, Topic> mTopics = new HashMap<>();
    private final HttpServer mServer;

    /** Sees every call before it is answered; returns a status to send in place of the answer. */
    interface Gate {
        int PASS = 0;

        int check(String call);
    }

    private volatile Gate mGate = call -> Gate.PASS;
    private volatile boolean mLosesAnswers;

    private record Appended(long sequence, long offset, long endOffset) {}

    private static final class Producer {
        private long mEpoch = -1;
        private final Deque<Appended> mLast = new ArrayDeque<>();
    }

    private static final class Topic {
        private final List<byte[]> mRecords = new ArrayList<>();
        private final TreeMap<String, Integer> mNewest = new TreeMap<>();
        private final Map<String, Producer> mProducers = new HashMap<>();
    }

    Store(InetSocketAddress address) throws IOException {
        mServer = HttpServer.create(address, 512);
        mServer.setExecutor(Executors.newCachedThreadPool(Fleet::daemonThread));
        mServer.createContext("/", this::serve);
        mServer.start();
    }

    void setGate(Gate gate) {
        mGate = gate;
    }

    /** Sets whether the answers of appends without a producer are lost; they are still executed. */
    void setLosesAnswers(boolean loses) {
        mLosesAnswers = loses;
    }

    /** Returns the total size of the newest records of a topic, in bytes. */
    synchronized long newestBytes(String topic) {
        Topic content = topic(topic);
        return content.mNewest.values().stream()
                .mapToLong(offset -> content.mRecords.get(offset).length)
                .sum();
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

    private static String key(byte[] record) {
        return new String(record, 1, Byte.toUnsignedInt(record[0]), StandardCharsets.UTF_8);
    }

    private static void add(Topic topic, byte[] record) {
        topic.mRecords.add(record);
        topic.mNewest.put(key(record), topic.mRecords.size() - 1);
    }

    private void serve(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        String path = exchange.getRequestURI().getPath();
        try {
            int status = mGate.check(path);
            if (status != Gate.PASS) {
                Fleet.respond(exchange, status, "{}".getBytes(StandardCharsets.UTF_8));
                return;
            }
            switch (path) {
                case "/log-append" -> append(exchange, query, body);
                case "/log-read" -> Fleet.respond(exchange, 200, read(query));
                case "/log-newest" -> Fleet.respond(exchange, 200, newest(query));
                default -> Fleet.respond(exchange, 404, new byte[0]);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
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

    private void append(HttpExchange exchange, Map<String, String> query, byte[] body)
            throws IOException, InterruptedException {
        Thread.sleep(1);
        int status;
        String text;
        synchronized (this) {
            Topic topic = topic(query.get("topic"));
            Producer producer = null;
            long sequence = 0;
            if (query.containsKey("producer")) {
                producer =
                        topic.mProducers.computeIfAbsent(
                                query.get("producer"), name -> new Producer());
                long epoch = Long.parseLong(query.get("epoch"));
                sequence = Long.parseLong(query.get("seq"));
                if (epoch < producer.mEpoch) {
                    Fleet.respond(exchange, 409, "{\"reason\":\"fenced\"}");
                    return;
                }
                if (epoch > producer.mEpoch) {
                    producer.mEpoch = epoch;
                    producer.mLast.clear();
                }
                for (Appended appended : producer.mLast) {
                    if (appended.sequence() == sequence) {
                        Fleet.respond(exchange, 200, offsets(appended));
                        return;
                    }
                }
                long expected =
                        producer.mLast.isEmpty()
                                ? sequence
                                : producer.mLast.getLast().sequence() + 1;
                if (sequence != expected) {
                    Fleet.respond(
                            exchange, 409, "{\"reason\":\"seq\",\"seq\":" + expected + "}");
                    return;
                }
            }
            long offset = topic.mRecords.size();
            ByteBuffer content = ByteBuffer.wrap(body);
            while (content.hasRemaining()) {
                byte[] record = new byte[content.getInt()];
                content.get(record);
                add(topic, record);
            }
            Appended appended = new Appended(sequence, offset, topic.mRecords.size());
            if (producer != null) {
                producer.mLast.addLast(appended);
                if (producer.mLast.size() > REMEMBERED_APPENDS) {
                    producer.mLast.removeFirst();
                }
            }
            notifyAll();
            status = 200;
            text = offsets(appended);
        }
        if (mLosesAnswers && !query.containsKey("producer")) {
            // The connection returns nothing further.
            Thread.sleep(LOST_ANSWER_MS);
            exchange.close();
            return;
        }
        Fleet.respond(exchange, status, text);
    }

    private static String offsets(Appended appended) {
        return "{\"offset\":" + appended.offset() + ",\"end_offset\":" + appended.endOffset() + "}";
    }

    private synchronized byte[] read(Map<String, String> query) throws InterruptedException {
        Topic topic = topic(query.get("topic"));
        int from = Integer.parseInt(query.get("from"));
        long untilMs =
                Fleet.nowMs() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        while (topic.mRecords.size() <= from && Fleet.nowMs() < untilMs) {
            wait(Math.max(1, untilMs - Fleet.nowMs()));
        }
        ByteArrayOutputStream page = new ByteArrayOutputStream();
        page.writeBytes(
                ByteBuffer.allocate(2 * Long.BYTES)
                        .putLong(topic.mRecords.size())
                        .putLong(0)
                        .array());
        for (int i = from; i < topic.mRecords.size() && page.size() < PAGE_BYTES; i++) {
            byte[] record = topic.mRecords.get(i);
            page.writeBytes(ByteBuffer.allocate(Integer.BYTES).putInt(record.length).array());
            page.writeBytes(record);
        }
        return page.toByteArray();
    }

    private synchronized byte[] newest(Map<String, String> query) {
        Topic topic = topic(query.get("topic"));
        StringBuilder items = new StringBuilder();
        boolean hasMore = false;
        int count = 0;
        for (int offset : topic.mNewest.tailMap(query.getOrDefault("after", ""), false).values()) {
            if (count == PAGE_ITEMS || items.length() > PAGE_BYTES) {
                hasMore = true;
                break;
            }
            byte[] record = topic.mRecords.get(offset);
            int valueStart = 1 + Byte.toUnsignedInt(record[0]);
            byte[] value = java.util.Arrays.copyOfRange(record, valueStart, record.length);
            items.append(count == 0 ? "" : ",")
                    .append("{\"key\":\"")
                    .append(key(record))
                    .append("\",\"offset\":")
                    .append(offset)
                    .append(",\"value\":\"")
                    .append(Base64.getEncoder().encodeToString(value))
                    .append("\"}");
            count++;
        }
        String text =
                "{\"items\":["
                        + items
                        + "],\"has_more\":"
                        + hasMore
                        + ",\"end_offset\":"
                        + topic.mRecords.size()
                        + "}";
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
