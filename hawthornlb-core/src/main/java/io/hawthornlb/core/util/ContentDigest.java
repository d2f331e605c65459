package io.hawthornlb.core.util;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Digest of a sequence of texts. The length of each text is part of the digest, so that sequences
 * with equal concatenations have different digests.
 */
public final class ContentDigest {

  private static final String ALGORITHM = "SHA-256";

  private final MessageDigest digest;

  /** Creates the digest of an empty sequence. */
  public ContentDigest() {
    try {
      this.digest = MessageDigest.getInstance(ALGORITHM);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(ALGORITHM + " is missing; use a complete JDK", e);
    }
  }

  /** Appends a text to the sequence and returns this digest. */
  public ContentDigest add(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
    digest.update(bytes);
    return this;
  }

  /** Returns the digest in lower-case hexadecimal and resets it to the empty sequence. */
  public String hex() {
    return HexFormat.of().formatHex(digest.digest());
  }
}
