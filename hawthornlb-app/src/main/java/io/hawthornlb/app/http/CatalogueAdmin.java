package io.hawthornlb.app.http;

import io.hawthornlb.core.catalogue.Catalogue;
import io.hawthornlb.core.catalogue.EditOutcome;
import io.hawthornlb.core.model.Finding;
import java.util.List;
import java.util.concurrent.CompletionStage;

/** What operators can do with the catalogue. */
public interface CatalogueAdmin {

  /** Returns all faults that a catalogue would have in force. */
  List<Finding> check(Catalogue wanted);

  /**
   * Puts a catalogue in the place of a revision and returns what became of the edit.
   *
   * <p>The stage fails when the log cannot be reached; the edit may then still take effect.
   */
  CompletionStage<EditOutcome> replace(long baseRevision, String author, Catalogue wanted);

  /** Returns the outcomes of the last edits, the oldest first. */
  CompletionStage<List<EditOutcome>> history();
}
