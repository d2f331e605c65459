package io.hawthornlb.core.catalogue;

import io.hawthornlb.core.effect.AppendRecord;
import io.vavr.control.Either;
import java.util.List;

/**
 * Submits the edits of operators to the log. Implementations are confined to the thread of the
 * fold.
 */
public interface CatalogueEditor {

  /**
   * Returns the record to append, or the outcome if it is certain without appending the edit.
   *
   * <p>The outcome of an appended edit is available from {@link CatalogueView#outcome} after this
   * instance has folded the record.
   */
  Either<EditOutcome, AppendRecord> submit(CatalogueEdit edit);

  /**
   * Returns the snapshots that are due.
   *
   * @param first whether this instance writes snapshots before other instances do
   */
  List<AppendRecord> onTick(boolean first);
}
