package io.hawthornlb.core.peer;

import io.hawthornlb.core.model.InstanceId;
import java.util.concurrent.CompletionStage;

/**
 * Handles one type of message from peers.
 *
 * @param <M> the type of message
 */
public interface PeerHandler<M extends PeerMessage> {

  /**
   * Handles a message. Returns a stage with the reply, or with {@code null} for a message that has
   * no reply.
   */
  CompletionStage<PeerMessage> handle(InstanceId sender, M message);
}
