package io.hawthornlb.gateway.relay;

import java.time.Duration;
import java.util.Map;

/** A message on a link between two gateways. Each reply names the call that it answers. */
sealed interface RelayMessage {

  /** Returns the id of the call, unique on its link. */
  long id();

  /**
   * Request to a peer to call the store, or to answer a call about jobs itself.
   *
   * @param target recipient of the call
   * @param method method of the call
   * @param path path and query
   * @param headers headers of the call
   * @param body body; may be empty
   * @param timeout time within which a reply is expected
   */
  record Call(
      long id,
      RelayTarget target,
      String method,
      String path,
      Map<String, String> headers,
      byte[] body,
      Duration timeout)
      implements RelayMessage {}

  /** Complete reply of the store, as the peer received it, or of the peer itself. */
  record Reply(long id, int status, Map<String, String> headers, byte[] body)
      implements RelayMessage {}

  /**
   * Notice that the peer got no complete reply.
   *
   * @param unsent whether the call was certainly not carried out
   * @param cause description of the failure
   */
  record Failure(long id, boolean unsent, String cause) implements RelayMessage {}
}
