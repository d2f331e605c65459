package io.hawthornlb.gateway.relay;

import java.time.Duration;
import java.util.Map;

/** A message on a link between two gateways; each reply names the call that it answers. */
sealed interface RelayMessage {

  /** Returns the number of the call on its link. */
  long id();

  /**
   * Asks a peer to make a call to the store.
   *
   * @param method method of the call
   * @param path path and query
   * @param headers headers of the call
   * @param body body; may be empty
   * @param timeout time within which the store is to answer the peer
   */
  record Call(
      long id,
      String method,
      String path,
      Map<String, String> headers,
      byte[] body,
      Duration timeout)
      implements RelayMessage {}

  /** The store's reply, as the peer got it. */
  record Reply(long id, int status, byte[] body) implements RelayMessage {}

  /**
   * Tells that the peer got no whole reply.
   *
   * @param unsent whether the call certainly was not carried out
   * @param cause what went wrong
   */
  record Failure(long id, boolean unsent, String cause) implements RelayMessage {}
}
