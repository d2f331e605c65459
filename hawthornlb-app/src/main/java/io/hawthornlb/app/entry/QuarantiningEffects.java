package io.hawthornlb.app.entry;

import io.hawthornlb.core.effect.BroadcastPeerMessage;
import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.endpoint.EndpointTable;
import io.hawthornlb.core.suspect.QuarantineNotice;
import java.util.List;

/**
 * Applies quarantine notices to the endpoint table of this instance before they are sent to peers.
 *
 * <p>A broadcast notice reaches only the peers. If the start of a quarantine were not applied here,
 * other requests would run beside the suspect at its endpoint. If the end were not applied, the
 * endpoint would stay closed to other requests, and these would wait until their deadline after the
 * loss of one engine.
 */
final class QuarantiningEffects implements EffectSink {

  private final EffectSink outward;
  private final EndpointTable endpoints;

  QuarantiningEffects(EffectSink outward, EndpointTable endpoints) {
    this.outward = outward;
    this.endpoints = endpoints;
  }

  @Override
  public void perform(List<Effect> effects) {
    for (Effect effect : effects) {
      if (effect instanceof BroadcastPeerMessage broadcast
          && broadcast.message() instanceof QuarantineNotice notice) {
        endpoints.quarantine(notice.endpoint(), notice.until());
      }
    }
    outward.perform(effects);
  }
}
