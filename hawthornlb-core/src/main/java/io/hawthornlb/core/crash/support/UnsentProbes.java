package io.hawthornlb.core.crash.support;

import io.hawthornlb.core.crash.PartEvidence;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Probes that were granted here and reached no endpoint.
 *
 * <p>The other instances count a probe as made once it is granted, so that no two send one at the
 * same time. One that was not made can thus be made up for only where it was granted.
 */
final class UnsentProbes {

  /**
   * The last probe of a part that was granted here.
   *
   * @param triedBefore time of the last crash or probe before it
   * @param grantedAt time when it was granted
   * @param unsent whether it reached no endpoint
   */
  private record Probe(Instant triedBefore, Instant grantedAt, boolean unsent) {}

  private final Map<String, Probe> probes = new HashMap<>();

  /** Grants a probe, and returns the evidence after it. */
  PartEvidence grant(String part, PartEvidence evidence, Instant now) {
    PartEvidence made = without(part, evidence);
    probes.put(part, new Probe(made.tried(), now, false));
    PartEvidence probed = made.probedAt(now);
    return probed.merge(evidence);
  }

  /** Records that the last probe of a part reached no endpoint. */
  void add(String part) {
    probes.computeIfPresent(part, (key, each) -> new Probe(each.triedBefore, each.grantedAt, true));
  }

  /** Returns the evidence as if such a probe had not been granted. */
  PartEvidence without(String part, PartEvidence evidence) {
    Probe probe = probes.get(part);
    if (probe == null || !probe.unsent) {
      return evidence;
    }
    boolean triedSince = evidence.tried().isAfter(probe.grantedAt);
    return new PartEvidence(
        evidence.crashes(),
        triedSince ? evidence.tried() : probe.triedBefore,
        evidence.seen(),
        Math.max(0, evidence.probes() - 1));
  }

  void forget(String part) {
    probes.remove(part);
  }
}
