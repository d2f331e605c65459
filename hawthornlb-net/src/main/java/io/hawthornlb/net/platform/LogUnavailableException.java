package io.hawthornlb.net.platform;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * Thrown when the log gave no usable response.
 *
 * <p>An append may have taken effect, so a retry must send the records with the same ids.
 */
public class LogUnavailableException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final Duration retryAfter;

  /** Creates the exception with the time to wait before a retry. */
  public LogUnavailableException(String message, Duration retryAfter, @Nullable Throwable cause) {
    super(message, cause);
    this.retryAfter = retryAfter;
  }

  /** Returns the time to wait before a retry. */
  public Duration retryAfter() {
    return retryAfter;
  }
}
