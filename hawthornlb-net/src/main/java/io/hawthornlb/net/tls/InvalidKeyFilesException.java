package io.hawthornlb.net.tls;

import org.jspecify.annotations.Nullable;

/** Thrown when key files cannot be read, or when the key does not match the certificate. */
public class InvalidKeyFilesException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception with a message that says what is wrong with the files. */
  public InvalidKeyFilesException(String message, @Nullable Throwable cause) {
    super(message, cause);
  }
}
