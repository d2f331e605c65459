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
   * Reads an octet that does not belong to the content.
   *
   * @return whether the next octet does not belong to the content either, and to the same response
   */
  boolean accept(byte octet);

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
