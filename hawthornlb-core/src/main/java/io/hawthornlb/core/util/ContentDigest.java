package io.hawthornlb.core.util;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Digests a sequence of texts, each with its length, so that no two sequences run together. */
public final class ContentDigest {

  private static final String ALGORITHM = "SHA-256";

  private final MessageDigest digest;

  /** Creates the digest of no text. */
  public ContentDigest() {
    try {
      this.digest = MessageDigest.getInstance(ALGORITHM);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(ALGORITHM + " is missing; use a complete JDK", e);
    }
  }

  /** Adds a text. */
  public ContentDigest add(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
    digest.update(bytes);
    return this;
  }

  /** Returns the digest in lower-case hexadecimal and starts anew. */
  public String hex() {
    return HexFormat.of().formatHex(digest.digest());
  }
}
