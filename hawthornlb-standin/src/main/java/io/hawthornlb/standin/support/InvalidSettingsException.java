package io.hawthornlb.standin.support;

import org.jspecify.annotations.Nullable;

/** Thrown for an invalid settings file; the message names the file, position and invalid key. */
public final class InvalidSettingsException extends RuntimeException {

  /** Creates an exception whose message describes the error and its position. */
  public InvalidSettingsException(String message, @Nullable Throwable cause) {
    super(message, cause);
  }
}
