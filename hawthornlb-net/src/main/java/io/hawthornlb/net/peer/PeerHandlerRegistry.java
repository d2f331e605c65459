package io.hawthornlb.net.peer;

import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerHandler;
import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.core.util.Checks;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** Maps each message type to its handler. */
public final class PeerHandlerRegistry {

  private final Map<Class<?>, PeerHandler<PeerMessage>> handlers;

  private PeerHandlerRegistry(Map<Class<?>, PeerHandler<PeerMessage>> handlers) {
    this.handlers = Map.copyOf(handlers);
  }

  /** Returns a builder without any handlers. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the handler of a message type, or empty if none is registered. */
  public Optional<PeerHandler<PeerMessage>> handler(Class<? extends PeerMessage> type) {
    return Optional.ofNullable(handlers.get(type));
  }

  /** Builds a {@link PeerHandlerRegistry}. */
  public static final class Builder {

    private final Map<Class<?>, PeerHandler<PeerMessage>> handlers = new HashMap<>();

    /**
     * Registers the handler of a message type.
     *
     * @throws IllegalArgumentException if the type already has a handler
     */
    public <M extends PeerMessage> Builder register(Class<M> type, PeerHandler<M> handler) {
      PeerHandler<PeerMessage> untyped =
          new PeerHandler<>() {
            @Override
            public CompletionStage<PeerMessage> handle(InstanceId sender, PeerMessage message) {
              return handler.handle(sender, type.cast(message));
            }
          };
      Checks.isTrue(
          handlers.put(type, untyped) == null, type.getSimpleName() + " already has a handler");
      return this;
    }

    /** Builds a registry of the handlers registered so far. */
    public PeerHandlerRegistry build() {
      return new PeerHandlerRegistry(handlers);
    }
  }
}
