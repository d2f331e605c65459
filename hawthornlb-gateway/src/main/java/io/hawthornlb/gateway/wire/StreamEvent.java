package io.hawthornlb.gateway.wire;

/**
 * A complete event of a stream.
 *
 * @param id number of the event; -1 if it has none
 * @param bytes the event as received, including the empty line at its end
 */
public record StreamEvent(long id, byte[] bytes) {

  private static final byte COMMENT = ':';

  /** Returns whether this is a comment, such as a keep-alive, and no part of the answer. */
  public boolean isComment() {
    int at = 0;
    while (at < bytes.length && (bytes[at] == '\n' || bytes[at] == '\r')) {
      at++;
    }
    return at < bytes.length && bytes[at] == COMMENT;
  }
}
