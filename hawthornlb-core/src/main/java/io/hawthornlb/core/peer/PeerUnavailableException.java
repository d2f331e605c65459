package io.hawthornlb.core.peer;

import io.hawthornlb.core.model.InstanceId;

/** Thrown when a peer gave no answer in time; whether it acted is unknown. */
public class PeerUnavailableException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception for a peer. */
  public PeerUnavailableException(InstanceId peer, String cause) {
    super("peer " + peer + " gave no answer: " + cause + "; ask another instance");
  }
}
