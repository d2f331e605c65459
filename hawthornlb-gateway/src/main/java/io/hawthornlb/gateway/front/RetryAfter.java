package io.hawthornlb.gateway.front;

import java.time.Duration;
import java.util.Locale;

/** Writes when to come back, as the header has it. */
public final class RetryAfter {

  private RetryAfter() {}

  /** Returns seconds with two decimals. */
  public static String seconds(Duration time) {
    return String.format(Locale.ROOT, "%.2f", time.toMillis() / 1000.0);
  }
}
