package io.hawthornlb.core.peer;

import io.hawthornlb.core.model.InstanceId;
import java.util.concurrent.CompletionStage;

/**
 * Handles one type of message from peers.
 *
 * @param <M> the type of message
 */
public interface PeerHandler<M extends PeerMessage> {

  /** Returns the answer, or a stage of {@code null} for a message that has none. */
  CompletionStage<PeerMessage> handle(InstanceId sender, M message);
}
