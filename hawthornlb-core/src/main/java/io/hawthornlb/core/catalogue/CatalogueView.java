package io.hawthornlb.core.catalogue;

import java.util.List;
import java.util.Optional;

/** View of the catalogue up to the last record that this instance has folded. */
public interface CatalogueView {

  /** Returns the catalogue in force. */
  Catalogue current();

  /** Returns the outcomes of the last edits, oldest first. */
  List<EditOutcome> history();

  /**
   * Returns the outcome of an edit; empty if this instance has not read the edit yet or no longer
   * knows it.
   */
  Optional<EditOutcome> outcome(String editId);
}
