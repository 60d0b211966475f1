package org.hickorycleat.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.message.ConfigurationCopy;
import org.hickorycleat.model.message.ConfigurationRequest;
import org.hickorycleat.model.message.Message;
import org.junit.jupiter.api.Test;

class ConfigurationCopySenderTest {
    private static final ProcessId PEER = new ProcessId("entry-2");
    private static final ProcessId OTHER_PEER = new ProcessId("entry-3");
    private static final byte[] CONTENT =
            FleetExamples.CONFIGURATION.getBytes(StandardCharsets.UTF_8);

    private final WorkloadConfigurationCache mConfiguration =
            new WorkloadConfigurationCache(configuration -> {});
    private final List<Message> mSent = new ArrayList<>();
    private final List<Runnable> mOnDequeued = new ArrayList<>();
    private boolean mConnected = true;
    private final ConfigurationCopySender mSender =
            new ConfigurationCopySender(mConfiguration, this::send, new ProcessMetrics());

    private boolean send(ProcessId peer, Message message, Runnable onDequeued) {
        if (!mConnected) {
            return false;
        }
        mSent.add(message);
        mOnDequeued.add(onDequeued);
        return true;
    }

    /** Guards against a copy that its receiver cannot read. */
    @Test
    void respondsWithConfigurationAsPublished() throws IOException {
        mConfiguration.updateIfNewer(CONTENT, "test");

        mSender.onRequest(PEER, new ConfigurationRequest(6));

        ConfigurationCopy copy = (ConfigurationCopy) mSent.get(0);
        assertThat(ConfigurationCompression.decompress(copy.compressedContent()))
                .isEqualTo(CONTENT);
    }

    @Test
    void ignoresRequestOfPeerThatIsUpToDate() {
        mSender.onRequest(PEER, new ConfigurationRequest(-1));
        mConfiguration.updateIfNewer(CONTENT, "test");
        mSender.onRequest(PEER, new ConfigurationRequest(7));

        assertThat(mSent).isEmpty();
    }

    /** Guards against copies that pile up in front of heartbeats on a slow link. */
    @Test
    void queuesNoSecondCopyToPeerWhileOneIsUnsent() {
        mConfiguration.updateIfNewer(CONTENT, "test");
        mSender.onRequest(PEER, new ConfigurationRequest(-1));
        mSender.onRequest(PEER, new ConfigurationRequest(-1));
        assertThat(mSent).hasSize(1);
        mSender.onRequest(OTHER_PEER, new ConfigurationRequest(-1));
        assertThat(mSent).hasSize(2);

        mOnDequeued.get(0).run();

        mSender.onRequest(PEER, new ConfigurationRequest(-1));
        assertThat(mSent).hasSize(3);
    }

    /** Guards against a peer that never gets a copy because one could not be queued. */
    @Test
    void respondsAfterCopyThatCouldNotBeQueued() {
        mConfiguration.updateIfNewer(CONTENT, "test");
        mConnected = false;
        mSender.onRequest(PEER, new ConfigurationRequest(-1));
        mConnected = true;

        mSender.onRequest(PEER, new ConfigurationRequest(-1));

        assertThat(mSent).hasSize(1);
    }

    /** Guards against a copy of the previous version after a new one is active. */
    @Test
    void respondsWithNewestVersion() throws IOException {
        mConfiguration.updateIfNewer(CONTENT, "test");
        mSender.onRequest(PEER, new ConfigurationRequest(-1));
        byte[] newer =
                FleetExamples.CONFIGURATION
                        .replace("\"version\":7", "\"version\":8")
                        .getBytes(StandardCharsets.UTF_8);
        mConfiguration.updateIfNewer(newer, "test");

        mSender.onRequest(OTHER_PEER, new ConfigurationRequest(7));

        ConfigurationCopy copy = (ConfigurationCopy) mSent.get(1);
        assertThat(ConfigurationCompression.decompress(copy.compressedContent())).isEqualTo(newer);
    }

    /** Guards against an exception of another kind, or an exhausted heap, on a corrupted copy. */
    @Test
    void rejectsContentThatIsMalformedOrTooLarge() {
        byte[] random = new byte[100];
        new Random(1).nextBytes(random);
        byte[] large =
                ConfigurationCompression.compress(
                        new byte[ConfigurationCompression.MAXIMUM_CONTENT_BYTES + 1]);

        assertThatThrownBy(() -> ConfigurationCompression.decompress(random))
                .isInstanceOf(IOException.class);
        assertThatThrownBy(() -> ConfigurationCompression.decompress(new byte[0]))
                .isInstanceOf(IOException.class);
        assertThatThrownBy(() -> ConfigurationCompression.decompress(large))
                .isInstanceOf(IOException.class);
    }
}
