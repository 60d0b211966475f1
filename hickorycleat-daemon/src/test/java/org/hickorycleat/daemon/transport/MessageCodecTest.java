package org.hickorycleat.daemon.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hickorycleat.model.message.Failure;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.result.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class MessageCodecTest {
    private final MessageCodec mCodec = new MessageCodec();

    static Class<?>[] messageTypes() {
        return Message.class.getPermittedSubclasses();
    }

    /**
     * Guards against a message type without a type number, and a field that is lost or reordered.
     */
    @ParameterizedTest
    @MethodSource("messageTypes")
    void roundTripsEveryMessageType(Class<?> type) {
        RandomRecords records = new RandomRecords(new Random(type.getName().hashCode()));
        for (int i = 0; i < 50; i++) {
            Message message = (Message) records.next(type);
            byte[] content = mCodec.encode(message);

            Either<Failure, Message> decoded = mCodec.decode(content);

            assertThat(decoded.isRight()).as("%s %s", message, decoded).isTrue();
            assertThat(decoded.get()).isInstanceOf(type);
            assertThat(mCodec.encode(decoded.get())).isEqualTo(content);
        }
    }

    /** Guards against an exception or a hang on bytes that are not a message. */
    @Property(seed = "7", tries = 2_000)
    void randomBytesAreRejectedOrDecoded(@ForAll byte[] content) {
        assertThat(mCodec.decode(content)).isNotNull();
    }

    /** Guards against an exception on a message that was corrupted in transit. */
    @Property(seed = "8", tries = 2_000)
    void corruptedMessagesAreRejectedOrDecoded(@ForAll long seed) {
        Random random = new Random(seed);
        Class<?>[] types = messageTypes();
        Class<?> type = types[random.nextInt(types.length)];
        byte[] content = mCodec.encode((Message) new RandomRecords(random).next(type));
        int length = 1 + random.nextInt(content.length);
        byte[] corrupted = Arrays.copyOf(content, length);
        corrupted[random.nextInt(length)] = (byte) random.nextInt();

        assertThat(mCodec.decode(corrupted)).isNotNull();
    }

    /**
     * Guards against a message of another protocol version being decoded as one of this version.
     */
    @Test
    void otherVersionsAreRejected() {
        byte[] content = mCodec.encode(new Failure(ResultCode.INTERNAL, "detail"));
        content[1] = MessageCodec.PROTOCOL_VERSION + 1;

        assertThat(mCodec.decode(content).getLeft().code()).isEqualTo(ResultCode.PROTOCOL_VERSION);
    }

    /** Guards against an unknown type being read as another message. */
    @Test
    void unknownTypesAreRejected() {
        byte[] content = mCodec.encode(new Failure(ResultCode.INTERNAL, "detail"));
        content[2] = 100;

        assertThat(mCodec.decode(content).getLeft().code()).isEqualTo(ResultCode.UNKNOWN_MESSAGE);
    }

    static List<byte[]> oddBodies() {
        byte[] nested = new byte[100_000];
        Arrays.fill(nested, (byte) 0x91);
        return List.of(
                nested,
                new byte[] {(byte) 0xdd, 0x7f, -1, -1, -1},
                new byte[] {(byte) 0xdd, -1, -1, -1, -1},
                new byte[] {(byte) 0xdb, 0x7f, -1, -1, -1},
                new byte[] {(byte) 0xc6, 0x7f, -1, -1, -1},
                new byte[] {(byte) 0xc6, 0, 0x0f, -1, -1},
                new byte[] {(byte) 0xc9, 0x7f, -1, -1, -1, 5},
                new byte[] {(byte) 0xcf, -1, -1, -1, -1, -1, -1, -1, -1},
                new byte[] {(byte) 0xa2, (byte) 0xc3, 0x28},
                new byte[] {(byte) 0xc1},
                new byte[] {(byte) 0xc0});
    }

    /** Guards against an error or an allocation for a length whose bytes have not arrived. */
    @ParameterizedTest
    @MethodSource("oddBodies")
    void rejectsOddBodyOfEveryMessageType(byte[] body) {
        for (int type = 0; type < messageTypes().length; type++) {
            byte[] content = new byte[3 + body.length];
            content[0] = (byte) 0x93;
            content[1] = MessageCodec.PROTOCOL_VERSION;
            content[2] = (byte) type;
            System.arraycopy(body, 0, content, 3, body.length);

            assertThat(mCodec.decode(content)).isNotNull();
        }
    }
}
