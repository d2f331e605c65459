package io.hawthornlb.core.catalogue;

import java.util.List;
import java.util.Optional;

/** The catalogue as far as this instance has folded the log. */
public interface CatalogueView {

  /** Returns the catalogue in force. */
  Catalogue current();

  /** Returns the outcomes of the last edits, the oldest first. */
  List<EditOutcome> history();

  /** Returns what became of an edit; empty if it was not read yet or is no longer known. */
  Optional<EditOutcome> outcome(String editId);
}
