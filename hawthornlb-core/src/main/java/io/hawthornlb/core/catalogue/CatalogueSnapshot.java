package io.hawthornlb.core.catalogue;

import io.hawthornlb.core.log.SnapshotPart;
import io.hawthornlb.core.log.WriterWindow;
import java.util.List;

/**
 * One part of a snapshot of the catalogue at one offset; all parts together hold the complete
 * catalogue.
 *
 * @param version version of the fold that wrote the snapshot
 * @param upTo offset below which every record is included
 * @param part number of this part, from zero
 * @param parts number of parts
 * @param writers record ids that still count as duplicates; present in the first part only
 * @param revision revision in force
 * @param outcomes outcomes that are still known, oldest first; present in the first part only
 * @param services services of this part
 * @param workspaces workspaces of this part
 */
public record CatalogueSnapshot(
    int version,
    long upTo,
    int part,
    int parts,
    List<WriterWindow> writers,
    long revision,
    List<EditOutcome> outcomes,
    List<ServiceEntry> services,
    List<WorkspaceEntry> workspaces)
    implements SnapshotPart {

  /** Copies the lists. */
  public CatalogueSnapshot {
    writers = List.copyOf(writers);
    outcomes = List.copyOf(outcomes);
    services = List.copyOf(services);
    workspaces = List.copyOf(workspaces);
  }
}
