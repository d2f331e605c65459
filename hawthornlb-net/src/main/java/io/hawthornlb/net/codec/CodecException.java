package io.hawthornlb.net.codec;

import org.jspecify.annotations.Nullable;

/** Thrown when bytes are no value of the expected types; the sender speaks another protocol. */
public class CodecException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception with its cause. */
  public CodecException(String message, @Nullable Throwable cause) {
    super(message, cause);
  }
}
