package io.hawthornlb.standin.support;

import org.jspecify.annotations.Nullable;

/** Settings hold a fault; the message names the file, the place and the key to mend. */
public final class InvalidSettingsException extends RuntimeException {

  /** Says what is wrong and where. */
  public InvalidSettingsException(String message, @Nullable Throwable cause) {
    super(message, cause);
  }
}
