package io.hawthornlb.app.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * Computes hashes of the prefixes of a prompt.
 *
 * <p>The hashes equal the ones by which engines identify prefixes in their cache events.
 */
final class PrefixHashes {

  private static final int HASH_LENGTH = 16;
  private static final byte LINE_FEED = '\n';

  private PrefixHashes() {}

  /** Returns the hash of each proper prefix of the message list, shortest prefix first. */
  static List<String> of(JsonNode messages) {
    MessageDigest digest = sha256();
    List<String> hashes = new ArrayList<>();
    for (int i = 0; i + 1 < messages.size(); i++) {
      update(digest, messages.get(i));
      hashes.add(currentHash(digest));
    }
    return hashes;
  }

  /** Returns the content of a message as text; an array of parts is returned as JSON. */
  static String content(JsonNode message) {
    JsonNode content = message.path("content");
    return content.isTextual() ? content.asText() : content.toString();
  }

  private static void update(MessageDigest digest, JsonNode message) {
    digest.update(message.path("role").asText().getBytes(StandardCharsets.UTF_8));
    digest.update(LINE_FEED);
    digest.update(content(message).getBytes(StandardCharsets.UTF_8));
    digest.update(LINE_FEED);
  }

  private static String currentHash(MessageDigest digest) {
    try {
      MessageDigest copy = (MessageDigest) digest.clone();
      return HexFormat.of().formatHex(copy.digest()).substring(0, HASH_LENGTH);
    } catch (CloneNotSupportedException e) {
      throw new IllegalStateException(
          "the SHA-256 implementation of this Java runtime cannot be cloned", e);
    }
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("this Java runtime does not provide SHA-256", e);
    }
  }
}
