package io.hawthornlb.app.settings;

import java.net.URI;
import java.time.Duration;

/**
 * Settings for calls to the platform.
 *
 * @param address the address of the platform
 * @param timeout the timeout of one call
 */
public record PlatformSettings(NetworkAddress address, Duration timeout) {

  /** Default timeout of one call. */
  public static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(2);

  /** Returns the base URI of the platform's HTTP API. */
  public URI uri() {
    return URI.create("http://" + address);
  }
}
