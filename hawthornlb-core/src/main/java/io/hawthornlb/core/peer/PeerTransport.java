package io.hawthornlb.core.peer;

import io.hawthornlb.core.model.InstanceId;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletionStage;

/** Carries messages between entry instances. */
public interface PeerTransport {

  /** Sends a message without an answer; it may be lost without notice. */
  void send(InstanceId target, PeerMessage message);

  /**
   * Sends a message and returns the answer of the peer.
   *
   * <p>The stage fails with {@link PeerUnavailableException} when no answer came in time; the peer
   * may then have acted or not.
   */
  CompletionStage<PeerMessage> request(InstanceId target, PeerMessage message, Duration timeout);

  /** Returns the peers that answered a probe lately. */
  Set<InstanceId> reachable();
}
