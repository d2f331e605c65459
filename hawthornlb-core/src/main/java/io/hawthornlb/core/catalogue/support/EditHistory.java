package io.hawthornlb.core.catalogue.support;

import io.hawthornlb.core.catalogue.EditOutcome;
import io.hawthornlb.core.catalogue.EditSummary;
import io.hawthornlb.core.catalogue.EditVerdict;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The outcomes of the last edits, limited in number; the same on every instance. */
final class EditHistory {

  /** Maximum number of outcomes. */
  static final int MAX_OUTCOMES = 128;

  private final Map<String, EditOutcome> outcomes = new LinkedHashMap<>();

  /** Adds the outcome of an edit, and removes the oldest outcome if there are too many. */
  void add(EditOutcome outcome) {
    outcomes.put(outcome.editId(), outcome);
    if (outcomes.size() > MAX_OUTCOMES) {
      Iterator<String> ids = outcomes.keySet().iterator();
      ids.next();
      ids.remove();
    }
  }

  /** Returns the outcome of an edit; empty if it is not known. */
  Optional<EditOutcome> find(String editId) {
    return Optional.ofNullable(outcomes.get(editId));
  }

  /** Returns the first accepted edit after a revision, if that edit is still known. */
  Optional<EditSummary> firstAcceptedAfter(long revision) {
    return outcomes.values().stream()
        .filter(each -> each.verdict() == EditVerdict.ACCEPTED && each.revision() > revision)
        .findFirst()
        .map(each -> new EditSummary(each.editId(), each.author(), each.revision()));
  }

  /** Returns all outcomes, oldest first. */
  List<EditOutcome> all() {
    return List.copyOf(outcomes.values());
  }

  /** Replaces all outcomes, after a snapshot was read. */
  void install(List<EditOutcome> copy) {
    outcomes.clear();
    copy.forEach(outcome -> outcomes.put(outcome.editId(), outcome));
  }
}
