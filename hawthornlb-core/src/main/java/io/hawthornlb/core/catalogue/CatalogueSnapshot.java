package io.hawthornlb.core.catalogue;

import io.hawthornlb.core.log.SnapshotPart;
import io.hawthornlb.core.log.WriterWindow;
import java.util.List;

/**
 * Some entries of the catalogue at one offset; all parts together are the whole.
 *
 * @param version the version of the fold that wrote it
 * @param upTo the offset below which every record is folded
 * @param part the number of this part, from zero
 * @param parts the number of parts
 * @param writers the record ids that still count as duplicates; in the first part
 * @param revision the revision in force
 * @param outcomes the outcomes still known, the oldest first; in the first part
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
