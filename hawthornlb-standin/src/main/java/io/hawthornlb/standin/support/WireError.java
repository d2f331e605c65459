package io.hawthornlb.standin.support;

/**
 * The body of an error response, in the format of the chat completion protocol.
 *
 * @param error the cause of the error
 */
public record WireError(Cause error) {

  /** The error message and the HTTP status code. */
  public record Cause(String message, int code) {}
}
