package io.hawthornlb.app.dispatch;

import io.hawthornlb.core.catalogue.ServiceEntry;
import io.hawthornlb.core.catalogue.WorkspaceEntry;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.suspect.Fingerprint;
import java.time.Instant;
import java.util.List;

/**
 * The attributes of an online request that admission, routing and retries use.
 *
 * @param id the id of the request, unique across instances and endpoints
 * @param workspace the workspace of the caller
 * @param service the requested service
 * @param fingerprint the fingerprint of the content; the same for every resend of that content
 * @param idempotent whether the request may be executed more than once
 * @param promptTokens the estimated length of the prompt in tokens; 0 for plain services
 * @param maxTokens the maximum number of tokens to generate; 0 for plain services
 * @param prefixHashes the hashes of the prompt's prefixes, shortest first
 * @param deadline the time by which the caller must have the answer
 */
public record OnlineRequest(
    RequestId id,
    WorkspaceEntry workspace,
    ServiceEntry service,
    Fingerprint fingerprint,
    boolean idempotent,
    int promptTokens,
    int maxTokens,
    List<String> prefixHashes,
    Instant deadline) {

  /** Copies the hashes. */
  public OnlineRequest {
    prefixHashes = List.copyOf(prefixHashes);
  }
}
