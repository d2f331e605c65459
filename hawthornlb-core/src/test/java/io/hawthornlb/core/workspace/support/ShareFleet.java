package io.hawthornlb.core.workspace.support;

import io.hawthornlb.core.admission.DemandDigest;
import io.hawthornlb.core.admission.support.DemandShareExchange;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.workspace.WorkspaceLimit;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** Fleet in which each instance tells all others its demand every 500 ms. */
final class ShareFleet implements LimitedFleet {

  private static final Duration DIGEST_INTERVAL = Duration.ofMillis(500);

  private final int[] dataCentres;
  private final DemandShareExchange[] exchanges;
  private final ShareLimiter[] limiters;
  private Instant digestAt = Instant.MIN;
  private int cut = -1;
  private long datagrams;

  ShareFleet(int[] dataCentres, Instant now) {
    this.dataCentres = dataCentres;
    this.exchanges = new DemandShareExchange[dataCentres.length];
    this.limiters = new ShareLimiter[dataCentres.length];
    restartAll(now);
  }

  @Override
  public boolean request(
      int instance, String service, WorkspaceId workspace, WorkspaceLimit limit, Instant now) {
    return limiters[instance].decide(workspace, limit, now).allowed();
  }

  @Override
  public void tick(Instant now) {
    if (now.isBefore(digestAt)) {
      return;
    }
    digestAt = now.plus(DIGEST_INTERVAL);
    for (int sender = 0; sender < exchanges.length; sender++) {
      DemandDigest digest = exchanges[sender].digest(now);
      for (int receiver = 0; receiver < exchanges.length; receiver++) {
        boolean reached = (dataCentres[sender] == cut) == (dataCentres[receiver] == cut);
        if (sender != receiver && reached) {
          datagrams++;
          exchanges[receiver].onDigest(digest, now);
        }
      }
    }
  }

  @Override
  public void cut(int dataCentre) {
    cut = dataCentre;
  }

  @Override
  public void restartAll(Instant now) {
    Map<InstanceId, DataCentre> all = new HashMap<>();
    for (int i = 0; i < dataCentres.length; i++) {
      all.put(new InstanceId("i" + i), new DataCentre("d" + dataCentres[i]));
    }
    for (int i = 0; i < dataCentres.length; i++) {
      exchanges[i] =
          new DemandShareExchange(new InstanceId("i" + i), new DataCentre("d" + dataCentres[i]));
      exchanges[i].onEntries(all, now);
      limiters[i] = new ShareLimiter(exchanges[i]);
    }
  }

  @Override
  public void restartDecider(String service, Instant now) {
    // No instance decides for others.
  }

  @Override
  public long datagrams() {
    return datagrams;
  }
}
