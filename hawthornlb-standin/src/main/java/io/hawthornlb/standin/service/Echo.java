package io.hawthornlb.standin.service;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The answer of a plain service, which lets a caller tell that it is its own and whole.
 *
 * @param service the service
 * @param id the endpoint that ran the call
 * @param method as received
 * @param path path and query as received
 * @param body as received, read as UTF-8
 * @param key the idempotency key, empty without one
 * @param call how often this key has run here, this time included
 * @param checksum see {@link #checksum}
 */
public record Echo(
    String service,
    String id,
    String method,
    String path,
    String body,
    String key,
    long call,
    String checksum) {

  /** Returns the hexadecimal SHA-256 of method, path and body, each but the last ended by LF. */
  public static String checksum(String method, String path, byte[] body) {
    MessageDigest digest = sha256();
    digest.update((method + "\n" + path + "\n").getBytes(StandardCharsets.UTF_8));
    digest.update(body);
    return HexFormat.of().formatHex(digest.digest());
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("this Java lacks SHA-256", e);
    }
  }
}
