package io.hawthornlb.core.catalogue.support;

import io.hawthornlb.core.catalogue.Catalogue;
import io.hawthornlb.core.catalogue.CatalogueChecker;
import io.hawthornlb.core.catalogue.CatalogueEdit;
import io.hawthornlb.core.catalogue.CatalogueSnapshot;
import io.hawthornlb.core.catalogue.WorkspaceEntry;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.RecordId;
import io.hawthornlb.core.model.WorkspaceId;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Reference implementations of the catalogue fold, for edits of workspaces. */
final class ReferenceCatalogue {

  private static final CatalogueChecker CHECKER = new DefaultCatalogueChecker();

  private ReferenceCatalogue() {}

  /**
   * Replays the whole stream and accepts an edit only if it is valid and based on the revision in
   * force.
   */
  static Catalogue replay(List<LogRecord> stream) {
    Catalogue catalogue = Catalogue.EMPTY;
    Set<RecordId> seen = new HashSet<>();
    for (LogRecord entry : stream) {
      if (seen.add(entry.id())
          && entry.body() instanceof CatalogueEdit edit
          && edit.baseRevision() == catalogue.revision()
          && CHECKER.check(catalogue, edit).isEmpty()) {
        catalogue = put(catalogue, entry.offset(), edit.putWorkspaces());
      }
    }
    return catalogue;
  }

  /** Applies each edit in order, whatever revision it is based on. */
  static Catalogue lastEditWins(List<LogRecord> stream) {
    Catalogue catalogue = Catalogue.EMPTY;
    for (LogRecord entry : stream) {
      if (entry.body() instanceof CatalogueEdit edit) {
        catalogue = put(catalogue, entry.offset(), edit.putWorkspaces());
      }
    }
    return catalogue;
  }

  /** Installs each snapshot as the state at its position in the stream. */
  static Catalogue withEverySnapshot(List<LogRecord> stream) {
    Catalogue catalogue = Catalogue.EMPTY;
    for (LogRecord entry : stream) {
      if (entry.body() instanceof CatalogueSnapshot snapshot) {
        Catalogue empty = new Catalogue(-1, Map.of(), Map.of());
        catalogue = put(empty, snapshot.revision(), snapshot.workspaces());
      } else if (entry.body() instanceof CatalogueEdit edit
          && edit.baseRevision() == catalogue.revision()) {
        catalogue = put(catalogue, entry.offset(), edit.putWorkspaces());
      }
    }
    return catalogue;
  }

  private static Catalogue put(Catalogue before, long revision, List<WorkspaceEntry> entries) {
    Map<WorkspaceId, WorkspaceEntry> workspaces = new TreeMap<>(before.workspaces());
    entries.forEach(entry -> workspaces.put(entry.id(), entry));
    return new Catalogue(revision, before.services(), workspaces);
  }
}
