package io.hawthornlb.gateway.relay;

import io.hawthornlb.gateway.http.HttpCall;
import io.hawthornlb.gateway.http.HttpReply;
import io.hawthornlb.gateway.peer.GatewayInstance;
import java.util.concurrent.CompletionStage;

/** Sends calls to peers, which pass them to the store or answer them from their jobs. */
public interface RelayTransport {

  /**
   * Sends a call to a peer. The stage fails with {@link
   * io.hawthornlb.gateway.http.HttpCallException} if no complete reply arrives.
   */
  CompletionStage<HttpReply> call(GatewayInstance peer, RelayTarget target, HttpCall call);
}
