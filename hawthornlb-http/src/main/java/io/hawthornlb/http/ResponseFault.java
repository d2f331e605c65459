package io.hawthornlb.http;

/** Why bytes are not a complete response. */
public enum ResponseFault {
  /** The response does not begin with a status line of HTTP/1. */
  STATUS_LINE("the status line is not one of HTTP/1"),
  /** The status is not a number of three digits from 100 to 599. */
  STATUS("the status is not one of HTTP"),
  /** The server changes to a protocol that the request did not ask for. */
  UPGRADE("the protocol changes unasked"),
  /** A header field has no name, or the name contains other characters than those of a token. */
  FIELD_NAME("the name of a header field is no token"),
  /** The value of a header field contains control characters. */
  FIELD_VALUE("the value of a header field has control characters"),
  /** A line ends with CR or LF alone. */
  LINE_END("a line does not end with CRLF"),
  /** The length is not a number, or there are several. */
  LENGTH("the length is not a single number"),
  /** The transfer coding cannot be decoded, or leaves the length of the body in doubt. */
  TRANSFER_CODING("the transfer coding is not chunked alone"),
  /** A chunk has no size or extension that can be read, or does not end with its size. */
  CHUNK("a chunk is malformed"),
  /** The server closed the connection before the end of the response. */
  CUT("the connection closed inside the response"),
  /** The connection was reset, or closed by this side, before the end of the response. */
  BROKEN_OFF("the connection broke off inside the response");

  private final String label;

  ResponseFault(String label) {
    this.label = label;
  }

  /** Returns the metric label, log cause and cause of the failed attempt. */
  public String label() {
    return label;
  }

  /** Returns whether all bytes were those of a response that has no end. */
  public boolean endedEarly() {
    return this == CUT || this == BROKEN_OFF;
  }

  /**
   * Checks what the grammar requires.
   *
   * @throws BrokenResponseException with this fault if the octets are not allowed
   */
  public void unless(boolean allowed) {
    if (!allowed) {
      throw new BrokenResponseException(this);
    }
  }
}
