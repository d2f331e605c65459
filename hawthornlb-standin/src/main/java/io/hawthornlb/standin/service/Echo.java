package io.hawthornlb.standin.service;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The response of a service stand-in, with which a caller can verify that the response is complete
 * and belongs to its own request.
 *
 * @param service the service of the endpoint
 * @param id the id of the endpoint that ran the call
 * @param method the method of the request
 * @param path the path and query of the request
 * @param body the body of the request, decoded as UTF-8
 * @param key the idempotency key, empty if the request has none
 * @param call the number of calls with this key at this endpoint so far, including this call
 * @param checksum the checksum of the request, see {@link #checksum(String, String, byte[])}
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

  /**
   * Returns the SHA-256 of a request in hexadecimal form. The hash covers the method, LF, the path,
   * LF and the body.
   */
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
      throw new IllegalStateException("this Java runtime does not support SHA-256", e);
    }
  }
}
