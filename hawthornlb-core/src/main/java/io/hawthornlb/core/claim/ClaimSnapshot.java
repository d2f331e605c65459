package io.hawthornlb.core.claim;

import io.hawthornlb.core.log.SnapshotPart;
import io.hawthornlb.core.log.WriterWindow;
import java.util.List;

/**
 * The claims of all partitions at one offset.
 *
 * @param version the version of the fold that wrote the snapshot
 * @param upTo the offset below which every record is folded into the snapshot
 * @param part the number of this part, from zero
 * @param parts the number of parts
 * @param writers the record ids that the fold still recognizes as duplicates
 * @param claims the state of every partition that was claimed at least once
 */
public record ClaimSnapshot(
    int version,
    long upTo,
    int part,
    int parts,
    List<WriterWindow> writers,
    List<ClaimState> claims)
    implements SnapshotPart {

  /** Copies the lists. */
  public ClaimSnapshot {
    writers = List.copyOf(writers);
    claims = List.copyOf(claims);
  }
}
