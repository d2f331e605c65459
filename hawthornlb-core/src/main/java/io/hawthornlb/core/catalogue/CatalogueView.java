package io.hawthornlb.core.catalogue;

import java.util.Optional;

/** The catalogue as far as this instance has folded the log. */
public interface CatalogueView {

  /** Returns the catalogue in force. */
  Catalogue current();

  /** Returns what became of an edit; empty if it was not read yet or is no longer known. */
  Optional<EditOutcome> outcome(String editId);
}
