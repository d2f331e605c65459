package io.hawthornlb.standin.support;

import org.jspecify.annotations.Nullable;

/** A body does not have the shape that the call asks for; the caller mends it and sends again. */
public final class MalformedBodyException extends RuntimeException {

  /** Says what was expected. */
  public MalformedBodyException(String message, @Nullable Throwable cause) {
    super(message, cause);
  }
}
