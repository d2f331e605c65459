package io.hawthornlb.app.entry;

import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.effect.BroadcastPeerMessage;
import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.effect.SendPeerMessage;
import java.util.List;

/** Performs effects that append to the log or send messages to peers. */
public final class OutwardEffects implements EffectSink {

  private static final System.Logger LOG = System.getLogger(OutwardEffects.class.getName());

  private final LogAccess log;
  private final PeerMesh peers;
  private final DecisionLoop loop;

  /** Creates the sink. */
  public OutwardEffects(LogAccess log, PeerMesh peers, DecisionLoop loop) {
    this.log = log;
    this.peers = peers;
    this.loop = loop;
  }

  @Override
  public void perform(List<Effect> effects) {
    effects.forEach(this::perform);
  }

  private void perform(Effect effect) {
    if (effect instanceof AppendRecord append) {
      log.append(append)
          .exceptionally(
              failure -> {
                LOG.log(
                    System.Logger.Level.WARNING,
                    "log: could not append a record to stream {0}",
                    append.stream());
                return -1L;
              });
    } else if (effect instanceof SendPeerMessage send) {
      loop.execute(() -> peers.send(send.target(), send.message()));
    } else if (effect instanceof BroadcastPeerMessage broadcast) {
      peers.broadcast(broadcast.message(), broadcast.scope());
    } else {
      throw new IllegalArgumentException("unsupported effect " + effect);
    }
  }
}
