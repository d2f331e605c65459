package io.hawthornlb.standin.support;

/**
 * The body of a failed call, in the shape of the chat completion protocol.
 *
 * @param error what went wrong
 */
public record WireError(Cause error) {

  /** The message and the HTTP status. */
  public record Cause(String message, int code) {}
}
