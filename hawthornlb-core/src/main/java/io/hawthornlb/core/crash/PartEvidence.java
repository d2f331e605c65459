package io.hawthornlb.core.crash;

import java.time.Instant;
import java.util.Set;
import java.util.TreeSet;

/**
 * What speaks against a part since an answer last began on it.
 *
 * @param crashes ids of the crashes for which the part may be the cause
 * @param tried time of the last crash or probe
 * @param seen time of the last request with the part, to within some minutes
 * @param probes number of requests that were let through to find out whether the part still crashes
 *     endpoints
 */
public record PartEvidence(Set<String> crashes, Instant tried, Instant seen, int probes) {

  /** Maximum number of crashes that are kept of one part. */
  public static final int MAX_CRASHES = 16;

  /** Maximum number of probes that are counted. */
  private static final int MAX_PROBES = 1_000;

  /** Copies the crashes, of which the first ones in order of their ids are kept. */
  public PartEvidence {
    crashes =
        crashes.size() <= MAX_CRASHES
            ? Set.copyOf(crashes)
            : Set.copyOf(new TreeSet<>(crashes).stream().limit(MAX_CRASHES).toList());
  }

  /** Returns the evidence of one crash. */
  public static PartEvidence of(String crash, Instant now) {
    return new PartEvidence(Set.of(crash), now, now, 0);
  }

  /** Returns all that this and other evidence say. The order of merging makes no difference. */
  public PartEvidence merge(PartEvidence other) {
    Set<String> all = new TreeSet<>(crashes);
    all.addAll(other.crashes);
    return new PartEvidence(
        all, later(tried, other.tried), later(seen, other.seen), Math.max(probes, other.probes));
  }

  /** Returns this evidence with a request that was seen at a time. */
  public PartEvidence seenAt(Instant now) {
    return new PartEvidence(crashes, tried, later(seen, now), probes);
  }

  /** Returns this evidence with one more probe. */
  public PartEvidence probedAt(Instant now) {
    return new PartEvidence(crashes, now, later(seen, now), Math.min(probes + 1, MAX_PROBES));
  }

  /** Returns this evidence without times that lie in the future by the clock of this instance. */
  public PartEvidence notAfter(Instant now) {
    return new PartEvidence(crashes, earlier(tried, now), earlier(seen, now), probes);
  }

  /** Returns whether this evidence says all that other evidence says of crashes and probes. */
  public boolean covers(PartEvidence other) {
    return crashes.containsAll(other.crashes) && probes >= other.probes;
  }

  private static Instant later(Instant one, Instant other) {
    return one.isAfter(other) ? one : other;
  }

  private static Instant earlier(Instant one, Instant other) {
    return one.isBefore(other) ? one : other;
  }
}
