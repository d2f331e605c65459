package io.hawthornlb.app.entry;

import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerHandler;
import io.hawthornlb.core.peer.PeerMessage;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

/** Creates handlers of one-way messages, which have no answer. */
public final class MessageHandlers {

  private MessageHandlers() {}

  /** Returns a handler that passes each message to a consumer and sends no answer. */
  public static <M extends PeerMessage> PeerHandler<M> oneWay(Consumer<M> consumer) {
    return new PeerHandler<>() {
      @Override
      public CompletionStage<PeerMessage> handle(InstanceId sender, M message) {
        consumer.accept(message);
        return CompletableFuture.completedFuture(null);
      }
    };
  }
}
