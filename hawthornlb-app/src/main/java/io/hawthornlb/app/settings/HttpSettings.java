package io.hawthornlb.app.settings;

/**
 * The front door for callers.
 *
 * @param address where it listens
 * @param bodyLimit the largest request body in bytes
 */
public record HttpSettings(NetworkAddress address, int bodyLimit) {

  /** The largest request body unless the settings say otherwise. */
  public static final int DEFAULT_BODY_LIMIT = 16 << 20;
}
