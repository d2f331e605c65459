package io.hawthornlb.app.dispatch;

import io.hawthornlb.core.catalogue.ServiceEntry;
import io.hawthornlb.core.catalogue.WorkspaceEntry;
import io.hawthornlb.core.util.Checks;
import java.util.List;

/**
 * One checked chat completion request.
 *
 * @param workspace who asks
 * @param service the service that the model names
 * @param stream whether the caller wants a token stream
 * @param maxTokens the most tokens to generate
 * @param promptTokens estimate of the length of the prompt
 * @param prefixHashes hashes of the prompt's prefixes, shortest first
 * @param body the request as it came
 */
public record ChatCall(
    WorkspaceEntry workspace,
    ServiceEntry service,
    boolean stream,
    int maxTokens,
    int promptTokens,
    List<String> prefixHashes,
    byte[] body) {

  /** Checks the counts and copies the hashes. */
  public ChatCall {
    Checks.notNegative(maxTokens, "max tokens");
    Checks.notNegative(promptTokens, "prompt tokens");
    prefixHashes = List.copyOf(prefixHashes);
  }
}
