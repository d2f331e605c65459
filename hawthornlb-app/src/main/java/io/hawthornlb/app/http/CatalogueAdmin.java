package io.hawthornlb.app.http;

import io.hawthornlb.core.catalogue.Catalogue;
import io.hawthornlb.core.catalogue.EditOutcome;
import io.hawthornlb.core.model.Finding;
import java.util.List;
import java.util.concurrent.CompletionStage;

/** Operations on the catalogue for operators. */
public interface CatalogueAdmin {

  /** Checks a catalogue as if it came into force and returns all its faults. */
  List<Finding> check(Catalogue proposed);

  /**
   * Replaces the catalogue if {@code baseRevision} is still in force, and returns the outcome of
   * the edit.
   *
   * <p>The stage fails if the log is unreachable. In that case the edit may still take effect.
   */
  CompletionStage<EditOutcome> replace(long baseRevision, String author, Catalogue proposed);

  /** Returns the outcomes of the most recent edits, oldest first. */
  CompletionStage<List<EditOutcome>> history();
}
