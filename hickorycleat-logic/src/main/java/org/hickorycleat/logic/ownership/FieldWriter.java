package org.hickorycleat.logic.ownership;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Writes MessagePack values to memory. */
final class FieldWriter {
    private final MessageBufferPacker mPacker = MessagePack.newDefaultBufferPacker();

    FieldWriter number(long value) {
        return write(() -> mPacker.packLong(value));
    }

    FieldWriter flag(boolean value) {
        return write(() -> mPacker.packBoolean(value));
    }

    FieldWriter text(String value) {
        return write(() -> mPacker.packString(value));
    }

    <T> FieldWriter optional(Optional<T> value, Consumer<T> writer) {
        return list(value.stream().toList(), writer);
    }

    <T> FieldWriter list(List<T> values, Consumer<T> writer) {
        write(() -> mPacker.packArrayHeader(values.size()));
        values.forEach(writer);
        return this;
    }

    byte[] bytes() {
        return mPacker.toByteArray();
    }

    private FieldWriter write(PackerCall call) {
        try {
            call.run();
            return this;
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private interface PackerCall {
        void run() throws IOException;
    }
}
