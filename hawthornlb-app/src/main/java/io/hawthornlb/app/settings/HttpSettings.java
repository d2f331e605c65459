package io.hawthornlb.app.settings;

/**
 * Settings of the HTTP server for callers.
 *
 * @param address the address on which the server listens
 * @param bodyLimit the largest request body in bytes
 */
public record HttpSettings(NetworkAddress address, int bodyLimit) {

  /** Default limit of a request body in bytes. */
  public static final int DEFAULT_BODY_LIMIT = 16 << 20;
}
