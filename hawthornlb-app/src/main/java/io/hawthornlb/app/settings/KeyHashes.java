package io.hawthornlb.app.settings;

import io.hawthornlb.core.config.ConfigSection;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/** Computes and validates hashes of bearer keys: SHA-256 in lower-case hexadecimal. */
public final class KeyHashes {

  private static final Pattern HASH = Pattern.compile("[0-9a-f]{64}");

  private KeyHashes() {}

  /** Returns the hash of a key. */
  public static String hash(String key) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("this Java runtime does not provide SHA-256", e);
    }
  }

  /** Reads a list of hashes and reports malformed and duplicate ones. */
  static List<String> read(ConfigSection section, String key) {
    List<String> hashes = section.texts(key);
    Set<String> seen = new HashSet<>();
    for (String hash : hashes) {
      if (!HASH.matcher(hash).matches()) {
        section.reject(key, "expected SHA-256 in lower-case hexadecimal (64 digits)");
      }
      if (!seen.add(hash)) {
        section.reject(key, "the same hash stands twice");
      }
    }
    return hashes;
  }
}
