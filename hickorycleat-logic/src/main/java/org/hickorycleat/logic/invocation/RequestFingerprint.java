package org.hickorycleat.logic.invocation;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.hickorycleat.model.message.Invoke;

/**
 * Digest of what makes two requests with one idempotency key the same: method, path and body.
 *
 * <p>Headers are left out, since clients add dates and trace identifiers that differ in every copy.
 */
record RequestFingerprint(String sha256) {
    static RequestFingerprint of(Invoke invoke) {
        MessageDigest digest = newDigest();
        update(digest, invoke.method().getBytes(StandardCharsets.UTF_8));
        update(digest, invoke.path().getBytes(StandardCharsets.UTF_8));
        update(digest, invoke.body());
        return new RequestFingerprint(HexFormat.of().formatHex(digest.digest()));
    }

    // The length before each field keeps the bytes of one field from counting for the next.
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
