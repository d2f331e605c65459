package io.hawthornlb.app.dispatch;

import io.hawthornlb.core.catalogue.ServiceEntry;
import io.hawthornlb.core.catalogue.WorkspaceEntry;
import io.hawthornlb.core.util.Checks;
import java.util.List;

/**
 * One validated chat completion request.
 *
 * @param workspace the workspace of the caller
 * @param service the service named by the request's {@code model}
 * @param stream whether the caller requested a token stream
 * @param maxTokens the maximum number of tokens to generate
 * @param promptTokens the estimated length of the prompt in tokens
 * @param prefixHashes the hashes of the prompt's prefixes, shortest first
 * @param body the request body as received
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
