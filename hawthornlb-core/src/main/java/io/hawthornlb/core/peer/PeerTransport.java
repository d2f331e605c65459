package io.hawthornlb.core.peer;

import io.hawthornlb.core.model.InstanceId;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletionStage;

/** Transports messages between entry instances. */
public interface PeerTransport {

  /** Sends a message without waiting for a reply. The message may be lost without notice. */
  void send(InstanceId target, PeerMessage message);

  /**
   * Sends a message and returns the reply of the peer.
   *
   * <p>The stage fails with {@link PeerUnavailableException} if no reply arrives within the
   * timeout. The peer may or may not have processed the message.
   */
  CompletionStage<PeerMessage> request(InstanceId target, PeerMessage message, Duration timeout);

  /** Returns the peers that recently replied to a probe. */
  Set<InstanceId> reachable();
}
