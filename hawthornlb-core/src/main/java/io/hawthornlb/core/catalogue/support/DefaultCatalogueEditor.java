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

/** Answers at once what the folded state makes certain, and appends the rest. */
public final class DefaultCatalogueEditor implements CatalogueEditor {

  private final CatalogueFold fold;
  private final CatalogueChecker checker;
  private final RecordIdSource ids;
  private final SnapshotSchedule<CatalogueSnapshot> snapshots;

  /** Creates an editor over a fold. */
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
    // A base below the revision in force can never become current again; one above it is only not
    // read yet, and is for the fold to judge.
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
