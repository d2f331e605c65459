package io.hawthornlb.gateway.http;

import java.util.Map;
import java.util.Set;

/**
 * A complete HTTP reply.
 *
 * @param status status code
 * @param headers headers that are relevant to the caller; empty for replies of the store
 * @param body body; may be empty
 * @param attempts description of the attempts of the call, for logs; empty if unknown
 */
public record HttpReply(int status, Map<String, String> headers, byte[] body, String attempts) {

  /** Statuses that guarantee that the server did nothing; any other status does not. */
  private static final Set<Integer> REFUSALS = Set.of(429, 503);

  /** Creates a reply and copies the headers. */
  public HttpReply {
    headers = Map.copyOf(headers);
  }

  /** Creates a reply without a description of the attempts. */
  public HttpReply(int status, Map<String, String> headers, byte[] body) {
    this(status, headers, body, "");
  }

  /** Creates a reply without headers. */
  public HttpReply(int status, byte[] body) {
    this(status, Map.of(), body);
  }

  /** Returns whether the server guarantees that it did nothing. */
  public boolean refused() {
    return REFUSALS.contains(status);
  }

  /** Returns a copy of this reply with a description of the attempts. */
  public HttpReply withAttempts(String description) {
    return new HttpReply(status, headers, body, description);
  }
}
