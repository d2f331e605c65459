package io.hawthornlb.core.peer;

import io.hawthornlb.core.model.InstanceId;

/** Thrown when a peer does not reply in time. Whether the peer processed the message is unknown. */
public class PeerUnavailableException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception for a peer. */
  public PeerUnavailableException(InstanceId peer, String cause) {
    super("peer " + peer + " did not reply: " + cause + "; try another instance");
  }
}
