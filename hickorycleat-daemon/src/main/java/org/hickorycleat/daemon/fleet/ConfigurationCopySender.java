package org.hickorycleat.daemon.fleet;

import java.util.HashSet;
import java.util.Set;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.daemon.transport.MessageCodec;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.message.ConfigurationCopy;
import org.hickorycleat.model.message.ConfigurationRequest;
import org.hickorycleat.model.message.Message;

/** Responds to requests of peers for the configuration; queues at most one copy for each peer. */
final class ConfigurationCopySender {
    private static final EventLog LOG = EventLog.of(ConfigurationCopySender.class);

    /** Bytes of a frame besides the content of the copy; an upper bound. */
    private static final int FRAME_OVERHEAD_BYTES = 64;

    private final WorkloadConfigurationCache mConfiguration;
    private final PeerSender mPeerSender;
    private final ProcessMetrics mMetrics;
    private final Set<ProcessId> mQueuedCopies = new HashSet<>();
    private byte[] mContent = {};
    private byte[] mCompressedContent = {};

    /** Sends messages to peers. */
    @FunctionalInterface
    interface PeerSender {
        /**
         * Sends a message; returns false only if the message is certain never to be sent, and
         * otherwise runs the action once the message has left the queue or its link is closed.
         */
        boolean send(ProcessId peer, Message message, Runnable onDequeued);
    }

    ConfigurationCopySender(
            WorkloadConfigurationCache configuration,
            PeerSender peerSender,
            ProcessMetrics metrics) {
        mConfiguration = configuration;
        mPeerSender = peerSender;
        mMetrics = metrics;
    }

    /** Sends a copy unless the peer knows the version or a copy to it is still queued. */
    void onRequest(ProcessId peer, ConfigurationRequest request) {
        if (mConfiguration.version() <= request.knownVersion()) {
            return;
        }
        byte[] compressed = compressedContent();
        if (compressed.length > MessageCodec.MAXIMUM_FRAME_BYTES - FRAME_OVERHEAD_BYTES) {
            LOG.event("configuration_too_large")
                    .with("peer", peer)
                    .with("bytes", compressed.length)
                    .warn();
            return;
        }
        synchronized (this) {
            if (!mQueuedCopies.add(peer)) {
                return;
            }
        }
        boolean sent =
                mPeerSender.send(
                        peer, new ConfigurationCopy(compressed), () -> onCopyDequeued(peer));
        if (sent) {
            mMetrics.recordConfigurationCopy(compressed.length);
        } else {
            onCopyDequeued(peer);
        }
        LOG.event("configuration_copy_sent")
                .with("peer", peer)
                .with("known", request.knownVersion())
                .with("bytes", compressed.length)
                .with("sent", sent)
                .info();
    }

    private synchronized void onCopyDequeued(ProcessId peer) {
        mQueuedCopies.remove(peer);
    }

    private synchronized byte[] compressedContent() {
        byte[] content = mConfiguration.content();
        if (content != mContent) {
            mCompressedContent = ConfigurationCompression.compress(content);
            mContent = content;
        }
        return mCompressedContent;
    }
}
