package io.hawthornlb.core.catalogue;

import io.hawthornlb.core.model.Finding;
import java.util.List;

/**
 * Finds what is wrong with an edit; the same on every instance and in every version.
 *
 * <p>Other checks are other rules with a number of their own.
 */
public interface CatalogueChecker {

  /** The version of the rules that new edits name. */
  int LATEST_RULES = 1;

  /** Returns the version of the rules. */
  int rules();

  /** Returns everything that is wrong with an edit of a catalogue; empty if it may be accepted. */
  List<Finding> check(Catalogue catalogue, CatalogueEdit edit);
}
