package io.hawthornlb.core.catalogue;

import io.hawthornlb.core.effect.AppendRecord;
import io.vavr.control.Either;
import java.util.List;

/** Takes edits of operators to the log. Confined to the thread of the fold. */
public interface CatalogueEditor {

  /**
   * Returns the record to append, or the outcome where it is certain without the log.
   *
   * <p>The outcome of an appended edit comes from {@link CatalogueView#outcome}.
   */
  Either<EditOutcome, AppendRecord> submit(CatalogueEdit edit);

  /**
   * Returns snapshots that are due.
   *
   * @param first whether this instance writes before the others
   */
  List<AppendRecord> onTick(boolean first);
}
