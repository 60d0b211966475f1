package org.hickorycleat.daemon.transport;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes values of one type. */
interface ValueCodec {
    /** Writes a value. */
    void write(MessagePacker packer, Object value) throws IOException;

    /** Reads a value. */
    Object read(MessageUnpacker unpacker) throws IOException;

    /** Writes values of one type. */
    @FunctionalInterface
    interface Writer {
        /** Writes a value. */
        void write(MessagePacker packer, Object value) throws IOException;
    }

    /** Reads values of one type. */
    @FunctionalInterface
    interface Reader {
        /** Reads a value. */
        Object read(MessageUnpacker unpacker) throws IOException;
    }

    /** Creates a codec from a writer and a reader. */
    static ValueCodec of(Writer writer, Reader reader) {
        return new ValueCodec() {
            @Override
            public void write(MessagePacker packer, Object value) throws IOException {
                writer.write(packer, value);
            }

            @Override
            public Object read(MessageUnpacker unpacker) throws IOException {
                return reader.read(unpacker);
            }
        };
    }
}
