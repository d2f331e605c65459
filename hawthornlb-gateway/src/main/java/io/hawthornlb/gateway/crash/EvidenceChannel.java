package io.hawthornlb.gateway.crash;

import java.util.List;

/** Tells other instances what this one has learned of parts. */
public interface EvidenceChannel {

  /** Tells updates to the other instances; they may arrive late, twice or not at all. */
  void publish(List<PartUpdate> updates);
}
