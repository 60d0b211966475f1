package org.hickorycleat.logic.invocation;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.hickorycleat.model.message.Invoke;

/**
 * Digest of method, path and body, in which all requests with one idempotency key must agree.
 *
 * <p>Headers are excluded, because clients add dates and trace identifiers that differ per copy.
 */
record RequestFingerprint(String sha256) {
    static RequestFingerprint of(Invoke invoke) {
        MessageDigest digest = newDigest();
        update(digest, invoke.method().getBytes(StandardCharsets.UTF_8));
        update(digest, invoke.path().getBytes(StandardCharsets.UTF_8));
        update(digest, invoke.body());
        return new RequestFingerprint(HexFormat.of().formatHex(digest.digest()));
    }

    // The length prefix prevents bytes of one field from being read as part of the next one.
    private static void update(MessageDigest digest, byte[] field) {
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(field.length).array());
        digest.update(field);
    }

    private static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
