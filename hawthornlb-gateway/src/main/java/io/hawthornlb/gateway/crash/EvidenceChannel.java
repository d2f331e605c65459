package io.hawthornlb.gateway.crash;

import java.util.List;
import java.util.Set;

/** Tells other instances what this one has learned of parts. */
public interface EvidenceChannel {

  /**
   * Tells updates to the other instances; they may arrive late, twice or not at all.
   *
   * @param urgent whether more than one crash speaks against a part, so that it may be blocked soon
   *     or is blocked; most parts that are beside a crash never come to a second one
   */
  void publish(List<PartUpdate> updates, boolean urgent);

  /** Drops what the channel keeps of parts that nobody has asked for in a long time. */
  void expired(Set<String> parts);
}
