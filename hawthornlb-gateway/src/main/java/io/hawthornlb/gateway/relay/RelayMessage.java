package io.hawthornlb.gateway.relay;

import java.time.Duration;
import java.util.Map;

/** A message on a link between two gateways; each reply names the call that it answers. */
sealed interface RelayMessage {

  /** Returns the number of the call on its link. */
  long id();

  /**
   * Asks a peer to make a call to the store, or to answer one about jobs.
   *
   * @param target who is to answer
   * @param method method of the call
   * @param path path and query
   * @param headers headers of the call
   * @param body body; may be empty
   * @param timeout time within which the answer is to be there
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

  /** The whole reply of the store, as the peer got it, or of the peer. */
  record Reply(long id, int status, Map<String, String> headers, byte[] body)
      implements RelayMessage {}

  /**
   * Tells that the peer got no whole reply.
   *
   * @param unsent whether the call certainly was not carried out
   * @param cause what went wrong
   */
  record Failure(long id, boolean unsent, String cause) implements RelayMessage {}
}
