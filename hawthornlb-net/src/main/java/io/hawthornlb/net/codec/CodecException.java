package io.hawthornlb.net.codec;

import org.jspecify.annotations.Nullable;

/**
 * Thrown when a value cannot be encoded, or when bytes are not a value of an expected type.
 *
 * <p>If decoding fails, the sender most likely uses another protocol.
 */
public class CodecException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception with its cause. */
  public CodecException(String message, @Nullable Throwable cause) {
    super(message, cause);
  }
}
