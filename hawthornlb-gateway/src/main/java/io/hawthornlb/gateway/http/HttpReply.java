package io.hawthornlb.gateway.http;

import java.util.Map;
import java.util.Set;

/**
 * A whole reply.
 *
 * @param status status code
 * @param headers headers that matter to whoever asked; empty for replies of the store
 * @param body body; may be empty
 * @param attempts how the call was tried, for whoever logs it; empty if nobody said
 */
public record HttpReply(int status, Map<String, String> headers, byte[] body, String attempts) {

  /** Statuses that promise that nothing was done; any other one leaves it open. */
  private static final Set<Integer> REFUSALS = Set.of(429, 503);

  /** Copies the headers. */
  public HttpReply {
    headers = Map.copyOf(headers);
  }

  /** Creates a reply of which nobody says how the call was tried. */
  public HttpReply(int status, Map<String, String> headers, byte[] body) {
    this(status, headers, body, "");
  }

  /** Creates a reply without headers. */
  public HttpReply(int status, byte[] body) {
    this(status, Map.of(), body);
  }

  /** Returns whether whoever was called promises that it did nothing. */
  public boolean refused() {
    return REFUSALS.contains(status);
  }

  /** Returns the same reply with how the call was tried. */
  public HttpReply withAttempts(String tried) {
    return new HttpReply(status, headers, body, tried);
  }
}
