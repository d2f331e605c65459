package io.hawthornlb.net.platform;

import org.jspecify.annotations.Nullable;

/** Thrown when the platform gave no usable response. The call is idempotent and can be retried. */
public class PlatformUnavailableException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception with its cause. */
  public PlatformUnavailableException(String message, @Nullable Throwable cause) {
    super(message, cause);
  }
}
