package org.hickorycleat.logic.ownership;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Reads MessagePack values from memory. */
final class FieldReader {
    private final MessageUnpacker mUnpacker;

    FieldReader(byte[] payload) {
        mUnpacker = MessagePack.newDefaultUnpacker(payload);
    }

    long number() throws IOException {
        return mUnpacker.unpackLong();
    }

    int smallNumber() throws IOException {
        return mUnpacker.unpackInt();
    }

    boolean flag() throws IOException {
        return mUnpacker.unpackBoolean();
    }

    String text() throws IOException {
        return mUnpacker.unpackString();
    }

    <T> Optional<T> optional(ElementReader<T> reader) throws IOException {
        return list(reader).stream().findFirst();
    }

    <T> List<T> list(ElementReader<T> reader) throws IOException {
        int size = mUnpacker.unpackArrayHeader();
        List<T> values = new ArrayList<>();
        for (int index = 0; index < size; index++) {
            values.add(reader.read());
        }
        return values;
    }

    boolean isAtEnd() throws IOException {
        return !mUnpacker.hasNext();
    }

    interface ElementReader<T> {
        T read() throws IOException;
    }
}
