package io.hawthornlb.app.settings;

import java.net.URI;
import java.time.Duration;

/**
 * Where the platform answers.
 *
 * @param address its address
 * @param timeout how long to wait for an answer
 */
public record PlatformSettings(NetworkAddress address, Duration timeout) {

  /** How long to wait unless the settings say otherwise. */
  public static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(2);

  /** Returns the base of the platform's calls. */
  public URI uri() {
    return URI.create("http://" + address);
  }
}
