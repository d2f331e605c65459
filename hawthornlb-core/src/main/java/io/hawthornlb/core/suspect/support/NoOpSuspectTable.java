package io.hawthornlb.core.suspect.support;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.suspect.ClearNotice;
import io.hawthornlb.core.suspect.CrashNotice;
import io.hawthornlb.core.suspect.Fingerprint;
import io.hawthornlb.core.suspect.QuarantineNotice;
import io.hawthornlb.core.suspect.SuspectTable;
import io.hawthornlb.core.suspect.Verdict;
import java.time.Instant;
import java.util.List;
import java.util.Set;

/**
 * Table that treats no request as a suspect.
 *
 * <p>Reference implementation of differential tests and baseline of measurements.
 */
public final class NoOpSuspectTable implements SuspectTable {

  @Override
  public Verdict judge(Fingerprint fingerprint, Set<EndpointId> endpoints, Instant now) {
    return new Verdict.Clear();
  }

  @Override
  public List<Effect> onAloneStarted(Fingerprint fingerprint, EndpointId endpoint, Instant now) {
    return List.of();
  }

  @Override
  public List<Effect> onAloneSucceeded(Fingerprint fingerprint, EndpointId endpoint, Instant now) {
    return List.of();
  }

  @Override
  public List<Effect> onAloneEnded(Fingerprint fingerprint, EndpointId endpoint, Instant now) {
    return List.of();
  }

  @Override
  public List<Effect> onCrash(EndpointId endpoint, List<Fingerprint> running, Instant now) {
    return List.of();
  }

  @Override
  public void onNotice(CrashNotice notice, Instant now) {}

  @Override
  public void onClear(ClearNotice notice, Instant now) {}

  @Override
  public void onQuarantine(QuarantineNotice notice, Instant now) {}

  @Override
  public List<Effect> onTick(Instant now) {
    return List.of();
  }
}
