package io.hawthornlb.net.platform;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** Thrown when the log gave no answer; an append may have taken effect and must keep its id. */
public class LogUnavailableException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final Duration retryAfter;

  /** Creates the exception with the time after which to try again. */
  public LogUnavailableException(String message, Duration retryAfter, @Nullable Throwable cause) {
    super(message, cause);
    this.retryAfter = retryAfter;
  }

  /** Returns the time after which to try again. */
  public Duration retryAfter() {
    return retryAfter;
  }
}
