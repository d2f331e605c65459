package io.hawthornlb.gateway.http;

import java.util.Map;
import java.util.Set;

/**
 * A whole reply.
 *
 * @param status status code
 * @param headers headers that matter to whoever asked; empty for replies of the store
 * @param body body; may be empty
 */
public record HttpReply(int status, Map<String, String> headers, byte[] body) {

  /** Statuses that promise that nothing was done; any other one leaves it open. */
  private static final Set<Integer> REFUSALS = Set.of(429, 503);

  /** Header under which a reply that does not help carries how the call went. */
  private static final String ACCOUNT = "hawthornlb-account";

  /** Copies the headers. */
  public HttpReply {
    headers = Map.copyOf(headers);
  }

  /** Creates a reply without headers. */
  public HttpReply(int status, byte[] body) {
    this(status, Map.of(), body);
  }

  /** Returns whether whoever was called promises that it did nothing. */
  public boolean refused() {
    return REFUSALS.contains(status);
  }

  /** Returns the same reply with how the call went, for whoever logs it. */
  public HttpReply withAccount(String account) {
    return new HttpReply(status, Map.of(ACCOUNT, account), body);
  }

  /** Returns how the call went; the status if nobody said more. */
  public String account() {
    return headers.getOrDefault(ACCOUNT, "status " + status);
  }
}
