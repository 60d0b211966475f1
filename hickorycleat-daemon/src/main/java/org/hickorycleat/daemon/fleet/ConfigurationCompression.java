package org.hickorycleat.daemon.fleet;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/** Compresses configurations with gzip. */
final class ConfigurationCompression {
    /** Maximum size of a decompressed configuration, in bytes. */
    static final int MAXIMUM_CONTENT_BYTES = 16 << 20;

    private ConfigurationCompression() {}

    static byte[] compress(byte[] content) {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        try (GZIPOutputStream out = new GZIPOutputStream(compressed)) {
            out.write(content);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return compressed.toByteArray();
    }

    /** Decompresses a configuration; fails if it is malformed or too large. */
    static byte[] decompress(byte[] compressed) throws IOException {
        try (GZIPInputStream in = new GZIPInputStream(new ByteArrayInputStream(compressed))) {
            byte[] content = in.readNBytes(MAXIMUM_CONTENT_BYTES + 1);
            if (content.length > MAXIMUM_CONTENT_BYTES) {
                throw new IOException("configuration exceeds " + MAXIMUM_CONTENT_BYTES + " bytes");
            }
            return content;
        }
    }
}
