package io.hawthornlb.gateway.http;

import java.util.concurrent.CompletionStage;

/** Makes HTTP calls without blocking. */
public interface HttpCaller {

  /** Makes a call; the stage fails with {@link HttpCallException} when there is no whole reply. */
  CompletionStage<HttpReply> call(HttpCall call);
}
