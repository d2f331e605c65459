package io.hawthornlb.gateway.crash;

import java.util.List;
import java.util.Set;

/** Tells other instances what this one has learned of parts. */
public interface EvidenceChannel {

  /** Tells updates to the other instances; they may arrive late, twice or not at all. */
  void publish(List<PartUpdate> updates);

  /** Drops what the channel keeps of parts that nobody has asked for in a long time. */
  void expired(Set<String> parts);
}
