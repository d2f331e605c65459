package io.hawthornlb.gateway.http;

import java.util.Map;

/**
 * A whole reply.
 *
 * @param status status code
 * @param headers headers that matter to whoever asked; empty for replies of the store
 * @param body body; may be empty
 */
public record HttpReply(int status, Map<String, String> headers, byte[] body) {

  /** Copies the headers. */
  public HttpReply {
    headers = Map.copyOf(headers);
  }

  /** Creates a reply without headers. */
  public HttpReply(int status, byte[] body) {
    this(status, Map.of(), body);
  }
}
