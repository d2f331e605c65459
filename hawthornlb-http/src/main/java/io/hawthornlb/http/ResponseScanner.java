package io.hawthornlb.http;

/**
 * Follows the responses on a connection octet by octet.
 *
 * <p>A response ends only where its framing says so, or where the server closes the connection if
 * the response is framed by that. Each method throws {@link BrokenResponseException} if the octets
 * can no longer become a response.
 */
public interface ResponseScanner {

  /**
   * Reads octets up to the next content, or to the end of a response; no content may be ahead.
   *
   * @return the index behind the last octet that was read
   */
  int accept(byte[] octets, int from, int to);

  /** Returns how many octets of content follow at least; {@link Long#MAX_VALUE} if not known. */
  long contentAhead();

  /** Skips octets of content, at most as many as are ahead. */
  void skipContent(long octets);

  /** Returns whether the last octet was the last one of a final response. */
  boolean atEnd();

  /** Reads the end of the connection, which the server has closed. */
  void endOfInput();

  /** Returns whether a response has begun and is not complete. */
  boolean inResponse();
}
