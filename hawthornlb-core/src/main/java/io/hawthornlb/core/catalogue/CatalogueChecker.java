package io.hawthornlb.core.catalogue;

import io.hawthornlb.core.model.Finding;
import java.util.List;

/**
 * Checks whether an edit is valid. A version of the rules gives the same result on every instance
 * and in every release.
 *
 * <p>A changed set of checks is a new version of the rules, with a number of its own.
 */
public interface CatalogueChecker {

  /** The version of the rules that new edits use. */
  int LATEST_RULES = 1;

  /** Returns the version of the rules that this checker applies. */
  int rules();

  /** Returns all faults of an edit to a catalogue; empty if the edit may be accepted. */
  List<Finding> check(Catalogue catalogue, CatalogueEdit edit);
}
