package io.hawthornlb.gateway.relay;

import io.hawthornlb.gateway.http.HttpCall;
import io.hawthornlb.gateway.http.HttpReply;
import io.hawthornlb.gateway.peer.GatewayInstance;
import java.util.concurrent.CompletionStage;

/** Has calls to the store made, and calls about jobs answered, by a peer. */
public interface RelayTransport {

  /**
   * Has a peer make or answer a call; the stage fails with {@link
   * io.hawthornlb.gateway.http.HttpCallException} when no whole reply came.
   */
  CompletionStage<HttpReply> call(GatewayInstance peer, RelayTarget target, HttpCall call);
}
