package io.hawthornlb.core.catalogue.support;

import io.hawthornlb.core.catalogue.Catalogue;
import io.hawthornlb.core.catalogue.CatalogueChecker;
import io.hawthornlb.core.catalogue.CatalogueEdit;
import io.hawthornlb.core.catalogue.CatalogueEditor;
import io.hawthornlb.core.catalogue.CatalogueSnapshot;
import io.hawthornlb.core.catalogue.EditOutcome;
import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.log.RecordIdSource;
import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.core.log.support.SnapshotPolicy;
import io.hawthornlb.core.log.support.SnapshotSchedule;
import io.hawthornlb.core.model.Finding;
import io.vavr.control.Either;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;

/**
 * Editor that returns the outcome of an edit at once if the folded state determines it, and appends
 * all other edits to the log.
 */
public final class DefaultCatalogueEditor implements CatalogueEditor {

  private final CatalogueFold fold;
  private final CatalogueChecker checker;
  private final RecordIdSource ids;
  private final SnapshotSchedule<CatalogueSnapshot> snapshots;

  /** Creates an editor that uses a fold. */
  public DefaultCatalogueEditor(
      CatalogueFold fold,
      CatalogueChecker checker,
      RecordIdSource ids,
      SnapshotPolicy snapshots,
      InstantSource clock) {
    this.fold = fold;
    this.checker = checker;
    this.ids = ids;
    this.snapshots = new SnapshotSchedule<>(fold, snapshots, clock);
  }

  @Override
  public Either<EditOutcome, AppendRecord> submit(CatalogueEdit edit) {
    Optional<EditOutcome> known = fold.outcome(edit.editId());
    if (known.isPresent()) {
      return Either.left(known.get());
    }
    Catalogue current = fold.current();
    // A base revision below the one in force can never be in force again. A base revision above it
    // only has not been read yet, so the fold decides about the edit.
    if (edit.baseRevision() < current.revision()) {
      return Either.left(fold.lost(edit));
    }
    if (edit.baseRevision() == current.revision()) {
      List<Finding> findings = checker.check(current, edit);
      if (!findings.isEmpty()) {
        return Either.left(EditOutcome.invalid(edit, current.revision(), findings));
      }
    }
    return Either.right(new AppendRecord(StreamName.CATALOGUE, ids.next(), edit));
  }

  @Override
  public List<AppendRecord> onTick(boolean first) {
    return snapshots.onTick(first).stream()
        .map(part -> new AppendRecord(StreamName.CATALOGUE, ids.next(), part))
        .toList();
  }
}
