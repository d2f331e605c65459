package io.hawthornlb.standin.support;

import org.jspecify.annotations.Nullable;

/**
 * Thrown if a request body does not have the expected format. A retry cannot succeed with the same
 * body.
 */
public final class MalformedBodyException extends RuntimeException {

  /** Creates an exception whose message describes the expected format. */
  public MalformedBodyException(String message, @Nullable Throwable cause) {
    super(message, cause);
  }
}
