package io.hawthornlb.gateway.wire;

import io.hawthornlb.core.crash.PromptParts;
import io.hawthornlb.core.work.WorkSize;

/**
 * Names of the headers that the gateway reads or sets.
 *
 * @param requestId id of one attempt of a caller
 * @param remainingMillis remaining time until the caller's timeout, in milliseconds
 * @param expectedEndpoint id of the endpoint that a request is meant for
 * @param notRun response header: the endpoint did not run the request
 * @param signature response header: proof that an endpoint created the response
 * @param lastEventId last event of a stream that the caller has received
 * @param resumes id of the attempt that brought the caller the first event of a stream that it
 *     resumes
 * @param apiKey API key of a caller; never forwarded
 * @param workspace name of the workspace for which a request is made; set by the gateway only
 * @param load reads the load that a response reports
 * @param workSize reads the token counts that a request states
 * @param promptParts reads the parts of its prompt that a request names
 */
public record HeaderNames(
    String requestId,
    String remainingMillis,
    String expectedEndpoint,
    String notRun,
    String signature,
    String lastEventId,
    String resumes,
    String apiKey,
    String workspace,
    LoadFormat load,
    WorkSizeFormat workSize,
    PromptPartsFormat promptParts) {

  /** Creates the names where requests state neither their size nor the parts of their prompts. */
  public HeaderNames(
      String requestId,
      String remainingMillis,
      String expectedEndpoint,
      String notRun,
      String signature,
      String lastEventId,
      String resumes,
      String apiKey,
      String workspace,
      LoadFormat load) {
    this(
        requestId,
        remainingMillis,
        expectedEndpoint,
        notRun,
        signature,
        lastEventId,
        resumes,
        apiKey,
        workspace,
        load,
        header -> WorkSize.NONE,
        header -> PromptParts.NONE);
  }
}
