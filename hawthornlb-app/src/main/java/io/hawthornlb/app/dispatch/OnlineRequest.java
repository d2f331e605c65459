package io.hawthornlb.app.dispatch;

import io.hawthornlb.core.catalogue.ServiceEntry;
import io.hawthornlb.core.catalogue.WorkspaceEntry;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.suspect.Fingerprint;
import java.time.Instant;
import java.util.List;

/**
 * What the decisions need to know of an online request.
 *
 * @param id names it across instances and endpoints
 * @param workspace who asks
 * @param service what is asked for
 * @param fingerprint the same for every resend of the same content
 * @param idempotent whether it may be executed more than once
 * @param promptTokens estimate of the length of its prompt; 0 for plain services
 * @param maxTokens the most tokens to generate; 0 for plain services
 * @param prefixHashes hashes of its prompt's prefixes, shortest first
 * @param deadline when the answer must be there
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
