package org.hickorycleat.daemon.fleet;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hickorycleat.daemon.transport.LinkTransport;
import org.hickorycleat.daemon.transport.MessageConnection;
import org.hickorycleat.daemon.transport.MessageListener;
import org.hickorycleat.model.message.Message;

/**
 * Connects transports in one process on the test clock, with hosts that can be cut off or fail.
 *
 * <p>Bytes that a cut holds up arrive when it ends. A connection on which nothing arrives is closed
 * after the read timeout.
 */
final class SimulatedNetwork {
    private static final long DELAY_MS = 4;
    private static final long CONNECT_TIMEOUT_MS = 1_000;
    private static final long READ_TIMEOUT_MS = 5_000;

    private final TestScheduler mScheduler;
    private final Map<InetSocketAddress, Supplier<MessageListener>> mListeners = new HashMap<>();
    private final Map<InetSocketAddress, Integer> mDials = new HashMap<>();
    private final Set<String> mCutHosts = new HashSet<>();
    private final Map<String, HostTransport> mTransports = new HashMap<>();
    private final List<End> mEnds = new ArrayList<>();

    SimulatedNetwork(TestScheduler scheduler) {
        mScheduler = scheduler;
    }

    /** Starts a process on a host and returns its transport. */
    LinkTransport start(String host) {
        HostTransport transport = new HostTransport(host);
        mTransports.put(host, transport);
        return transport;
    }

    /** Cuts a host off from all others. */
    void cut(String host) {
        mCutHosts.add(host);
    }

    /** Ends the cut of a host and delivers what it has held up. */
    void heal(String host) {
        mCutHosts.remove(host);
        List.copyOf(mEnds).forEach(End::deliverHeldUp);
    }

    /** Resets all connections of a host. */
    void reset(String host) {
        List.copyOf(mEnds).stream().filter(end -> end.mHost.equals(host)).forEach(End::close);
    }

    /** Ends the process on a host without a word; its peers find out by timeouts. */
    void fail(String host) {
        mTransports.remove(host);
        mListeners.keySet().removeIf(address -> address.getHostString().equals(host));
        mEnds.stream().filter(end -> end.mHost.equals(host)).forEach(end -> end.mOpen = false);
        mEnds.removeIf(end -> end.mHost.equals(host));
    }

    /** Returns how many connections to an address were attempted. */
    int dials(InetSocketAddress address) {
        return mDials.getOrDefault(address, 0);
    }

    private boolean isCut(String left, String right) {
        boolean cut = mCutHosts.contains(left) || mCutHosts.contains(right);
        return cut || !mTransports.containsKey(left) || !mTransports.containsKey(right);
    }

    private void later(long delayMs, Runnable task) {
        mScheduler.scheduleDirect(task, delayMs, TimeUnit.MILLISECONDS);
    }

    private long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }

    private final class HostTransport implements LinkTransport {
        private final String mHost;

        HostTransport(String host) {
            mHost = host;
        }

        @Override
        public void listen(InetSocketAddress address, Supplier<MessageListener> listenerFactory) {
            mListeners.put(address, listenerFactory);
        }

        @Override
        public void connect(
                InetSocketAddress address,
                MessageListener listener,
                Consumer<Throwable> onFailure) {
            if (mTransports.get(mHost) != this) {
                return;
            }
            mDials.merge(address, 1, Integer::sum);
            String peer = address.getHostString();
            if (isCut(mHost, peer)) {
                later(
                        CONNECT_TIMEOUT_MS,
                        () -> onFailure.accept(new IllegalStateException("timed out")));
                return;
            }
            later(DELAY_MS, () -> open(address, listener, onFailure));
        }

        private void open(
                InetSocketAddress address,
                MessageListener listener,
                Consumer<Throwable> onFailure) {
            Optional<Supplier<MessageListener>> peer = Optional.ofNullable(mListeners.get(address));
            if (mTransports.get(mHost) != this) {
                return;
            }
            if (peer.isEmpty()) {
                onFailure.accept(new IllegalStateException("refused"));
                return;
            }
            End here = new End(mHost, address.getHostString(), listener);
            End there = new End(address.getHostString(), mHost, peer.get().get());
            here.mOther = Optional.of(there);
            there.mOther = Optional.of(here);
            mEnds.add(here);
            mEnds.add(there);
            here.start();
            there.start();
        }
    }

    /** One end of a connection. */
    private final class End implements MessageConnection {
        private final String mHost;
        private final String mPeerHost;
        private final MessageListener mListener;
        private final Queue<Message> mHeldUp = new ArrayDeque<>();
        private Optional<End> mOther = Optional.empty();
        private boolean mOpen = true;
        private long mReceivedAtMs = nowMs();

        End(String host, String peerHost, MessageListener listener) {
            mHost = host;
            mPeerHost = peerHost;
            mListener = listener;
        }

        private void start() {
            mListener.onOpen(this);
            later(READ_TIMEOUT_MS, this::closeIfSilent);
        }

        private void closeIfSilent() {
            long remainingMs = mReceivedAtMs + READ_TIMEOUT_MS - nowMs();
            if (mOpen && remainingMs <= 0) {
                close();
            } else if (mOpen) {
                later(remainingMs, this::closeIfSilent);
            }
        }

        @Override
        public boolean send(Message message) {
            if (!mOpen) {
                return false;
            }
            End other = mOther.orElseThrow();
            later(DELAY_MS, () -> other.receive(message));
            return true;
        }

        @Override
        public boolean send(Message message, Runnable onDequeued) {
            boolean sent = send(message);
            if (sent) {
                onDequeued.run();
            }
            return sent;
        }

        @Override
        public void sendAndClose(Message message) {
            send(message);
            close();
        }

        private void receive(Message message) {
            if (!mOpen) {
                return;
            }
            if (isCut(mHost, mPeerHost)) {
                mHeldUp.add(message);
                return;
            }
            mReceivedAtMs = nowMs();
            mListener.onMessage(this, message);
        }

        private void deliverHeldUp() {
            while (mOpen && !isCut(mHost, mPeerHost) && !mHeldUp.isEmpty()) {
                receive(mHeldUp.remove());
            }
        }

        @Override
        public void close() {
            if (!mOpen) {
                return;
            }
            mOpen = false;
            mEnds.remove(this);
            later(0, () -> mListener.onClose(this));
            End other = mOther.orElseThrow();
            later(DELAY_MS, other::onPeerClosed);
        }

        private void onPeerClosed() {
            if (!isCut(mHost, mPeerHost)) {
                close();
            }
        }

        @Override
        public String remoteAddress() {
            return mPeerHost;
        }
    }
}
