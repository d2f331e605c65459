package io.hawthornlb.net.peer;

import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerHandler;
import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.core.util.Checks;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** Holds the handler of each type of message. */
public final class PeerHandlerRegistry {

  private final Map<Class<?>, PeerHandler<PeerMessage>> handlers;

  private PeerHandlerRegistry(Map<Class<?>, PeerHandler<PeerMessage>> handlers) {
    this.handlers = Map.copyOf(handlers);
  }

  /** Starts an empty registry. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the handler of a type of message. */
  public Optional<PeerHandler<PeerMessage>> handler(Class<? extends PeerMessage> type) {
    return Optional.ofNullable(handlers.get(type));
  }

  /** Collects the handlers of a registry. */
  public static final class Builder {

    private final Map<Class<?>, PeerHandler<PeerMessage>> handlers = new HashMap<>();

    /** Adds the handler of a type of message; a type has one handler only. */
    public <M extends PeerMessage> Builder register(Class<M> type, PeerHandler<M> handler) {
      PeerHandler<PeerMessage> untyped =
          new PeerHandler<>() {
            @Override
            public CompletionStage<PeerMessage> handle(InstanceId sender, PeerMessage message) {
              return handler.handle(sender, type.cast(message));
            }
          };
      Checks.isTrue(
          handlers.put(type, untyped) == null, type.getSimpleName() + " has a handler already");
      return this;
    }

    /** Returns the registry. */
    public PeerHandlerRegistry build() {
      return new PeerHandlerRegistry(handlers);
    }
  }
}
