package io.hawthornlb.gateway.http;

import java.util.concurrent.CompletionStage;

/** Performs HTTP calls without blocking. */
public interface HttpCaller {

  /**
   * Performs a call; the stage fails with {@link HttpCallException} when no complete reply arrives.
   */
  CompletionStage<HttpReply> call(HttpCall call);
}
