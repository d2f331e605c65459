package io.hawthornlb.core.catalogue.support;

import io.hawthornlb.core.catalogue.Catalogue;
import io.hawthornlb.core.catalogue.CatalogueChecker;
import io.hawthornlb.core.catalogue.CatalogueEdit;
import io.hawthornlb.core.catalogue.CatalogueSnapshot;
import io.hawthornlb.core.catalogue.CatalogueView;
import io.hawthornlb.core.catalogue.EditOutcome;
import io.hawthornlb.core.catalogue.EditSummary;
import io.hawthornlb.core.catalogue.ServiceEntry;
import io.hawthornlb.core.catalogue.WorkspaceEntry;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.WriterWindow;
import io.hawthornlb.core.log.support.AbstractStreamFold;
import io.hawthornlb.core.model.Finding;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.model.WorkspaceId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Folds the catalogue's stream of records.
 *
 * <p>An edit is accepted only if it is based on the revision in force and its checks find no
 * faults. The offset of the edit becomes the new revision, so revisions only increase.
 */
public final class CatalogueFold extends AbstractStreamFold<CatalogueSnapshot>
    implements CatalogueView {

  /** Maximum number of services, and of workspaces, in one part of a snapshot. */
  static final int ENTRIES_PER_PART = 1_000;

  private static final int VERSION = 1;

  private final CatalogueChecker checker;
  private final EditHistory history = new EditHistory();
  private Catalogue current = Catalogue.EMPTY;

  /** Creates a fold of an empty catalogue. */
  public CatalogueFold(CatalogueChecker checker) {
    super(CatalogueSnapshot.class, VERSION);
    this.checker = checker;
  }

  @Override
  public Catalogue current() {
    return current;
  }

  @Override
  public List<EditOutcome> history() {
    return history.all();
  }

  @Override
  public Optional<EditOutcome> outcome(String editId) {
    return history.find(editId);
  }

  /** Returns the outcome of an edit that is based on another revision than the one in force. */
  EditOutcome lost(CatalogueEdit edit) {
    Optional<EditSummary> winner = history.firstAcceptedAfter(edit.baseRevision());
    return EditOutcome.lost(edit, current.revision(), winner);
  }

  @Override
  protected void applyFirst(LogRecord entry) {
    if (entry.body() instanceof CatalogueEdit edit) {
      applyEdit(entry.offset(), edit);
    }
  }

  @Override
  protected List<CatalogueSnapshot> createSnapshot(long upTo, List<WriterWindow> writers) {
    List<ServiceEntry> services = List.copyOf(new TreeMap<>(current.services()).values());
    List<WorkspaceEntry> workspaces = List.copyOf(new TreeMap<>(current.workspaces()).values());
    int largest = Math.max(services.size(), workspaces.size());
    int parts = Math.max(1, (largest + ENTRIES_PER_PART - 1) / ENTRIES_PER_PART);
    List<CatalogueSnapshot> snapshot = new ArrayList<>(parts);
    for (int part = 0; part < parts; part++) {
      snapshot.add(
          new CatalogueSnapshot(
              VERSION,
              upTo,
              part,
              parts,
              part == 0 ? writers : List.of(),
              current.revision(),
              part == 0 ? history.all() : List.of(),
              slice(services, part),
              slice(workspaces, part)));
    }
    return snapshot;
  }

  @Override
  protected void install(List<CatalogueSnapshot> parts) {
    Map<ServiceName, ServiceEntry> services = new HashMap<>();
    Map<WorkspaceId, WorkspaceEntry> workspaces = new HashMap<>();
    for (CatalogueSnapshot part : parts) {
      part.services().forEach(entry -> services.put(entry.name(), entry));
      part.workspaces().forEach(entry -> workspaces.put(entry.id(), entry));
    }
    history.install(parts.get(0).outcomes());
    current = new Catalogue(parts.get(0).revision(), services, workspaces);
  }

  private void applyEdit(long offset, CatalogueEdit edit) {
    // During an upgrade a newer version could accept an edit that this one would refuse, or the
    // reverse, so that the fleet would have two different catalogues. So an edit names its version
    // of the rules. If this instance does not know that version, it keeps the last revision that
    // it understood. Later edits are based on a revision that this instance lacks, so they do not
    // apply either until the instance is upgraded.
    if (edit.rules() != checker.rules()) {
      noteNewerChange();
      return;
    }
    if (history.find(edit.editId()).isPresent()) {
      return;
    }
    if (edit.baseRevision() != current.revision()) {
      if (!lacksNewerChanges()) {
        history.add(lost(edit));
      }
      return;
    }
    List<Finding> findings = checker.check(current, edit);
    if (findings.isEmpty()) {
      current = withEdit(offset, edit);
      history.add(EditOutcome.accepted(edit, offset));
    } else {
      history.add(EditOutcome.invalid(edit, current.revision(), findings));
    }
  }

  private Catalogue withEdit(long revision, CatalogueEdit edit) {
    Map<ServiceName, ServiceEntry> services = new HashMap<>(current.services());
    edit.removedServices().forEach(services::remove);
    edit.putServices().forEach(entry -> services.put(entry.name(), entry));
    Map<WorkspaceId, WorkspaceEntry> workspaces = new HashMap<>(current.workspaces());
    edit.removedWorkspaces().forEach(workspaces::remove);
    edit.putWorkspaces().forEach(entry -> workspaces.put(entry.id(), entry));
    return new Catalogue(revision, services, workspaces);
  }

  private static <T> List<T> slice(List<T> entries, int part) {
    int from = Math.min(entries.size(), part * ENTRIES_PER_PART);
    return entries.subList(from, Math.min(entries.size(), from + ENTRIES_PER_PART));
  }
}
