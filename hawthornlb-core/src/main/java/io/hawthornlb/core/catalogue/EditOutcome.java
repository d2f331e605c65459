package io.hawthornlb.core.catalogue;

import io.hawthornlb.core.model.Finding;
import java.util.List;
import java.util.Optional;

/**
 * Outcome of one edit.
 *
 * @param editId id of the edit
 * @param author author of the edit
 * @param revision offset of the edit if it was accepted, otherwise the revision that stayed in
 *     force
 * @param verdict whether the edit was accepted, lost or invalid
 * @param lostTo the edit that came first, if this edit lost and the other edit is still known
 * @param findings all faults of an invalid edit
 */
public record EditOutcome(
    String editId,
    String author,
    long revision,
    EditVerdict verdict,
    Optional<EditSummary> lostTo,
    List<Finding> findings) {

  /** Copies the findings. */
  public EditOutcome {
    findings = List.copyOf(findings);
  }

  /** Returns the outcome of an accepted edit. */
  public static EditOutcome accepted(CatalogueEdit edit, long revision) {
    return new EditOutcome(
        edit.editId(), edit.author(), revision, EditVerdict.ACCEPTED, Optional.empty(), List.of());
  }

  /** Returns the outcome of an edit whose base revision was no longer in force. */
  public static EditOutcome lost(CatalogueEdit edit, long revision, Optional<EditSummary> lostTo) {
    return new EditOutcome(
        edit.editId(), edit.author(), revision, EditVerdict.LOST, lostTo, List.of());
  }

  /** Returns the outcome of an invalid edit. */
  public static EditOutcome invalid(CatalogueEdit edit, long revision, List<Finding> findings) {
    return new EditOutcome(
        edit.editId(), edit.author(), revision, EditVerdict.INVALID, Optional.empty(), findings);
  }
}
