package io.hawthornlb.app.entry;

import io.hawthornlb.core.effect.BroadcastPeerMessage;
import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.endpoint.EndpointTable;
import io.hawthornlb.core.suspect.QuarantineNotice;
import java.util.List;

/**
 * Applies quarantines to the own table of endpoints before they go to peers.
 *
 * <p>Notices reach peers only. Without their beginning here, other requests would join a suspect at
 * its endpoint; without their end, the endpoint would stay closed to them, which shows as requests
 * that wait until their deadline after one engine was lost.
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
      if (effect instanceof BroadcastPeerMessage spread
          && spread.message() instanceof QuarantineNotice notice) {
        endpoints.quarantine(notice.endpoint(), notice.until());
      }
    }
    outward.perform(effects);
  }
}
