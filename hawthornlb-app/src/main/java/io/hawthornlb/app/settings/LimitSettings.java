package io.hawthornlb.app.settings;

import java.time.Duration;

/**
 * Load limits of one instance.
 *
 * @param requests the maximum number of requests in progress at once
 * @param drain the maximum time that a graceful stop waits for requests in progress
 */
public record LimitSettings(int requests, Duration drain) {

  /** Default values. */
  public static final LimitSettings DEFAULT = new LimitSettings(1_024, Duration.ofSeconds(60));
}
