package io.hawthornlb.app.settings;

import java.time.Duration;

/**
 * What one instance takes on at most.
 *
 * @param requests requests in progress at once
 * @param drain how long a stop waits for requests in progress
 */
public record LimitSettings(int requests, Duration drain) {

  /** The values unless the settings say otherwise. */
  public static final LimitSettings DEFAULT = new LimitSettings(1_024, Duration.ofSeconds(60));
}
