package io.hawthornlb.net.tls;

import org.jspecify.annotations.Nullable;

/** Thrown when key files cannot be read, or do not belong together. */
public class InvalidKeyFilesException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception with what to do about it. */
  public InvalidKeyFilesException(String message, @Nullable Throwable cause) {
    super(message, cause);
  }
}
