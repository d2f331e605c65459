package io.hawthornlb.core.catalogue.support;

import io.hawthornlb.core.catalogue.EditOutcome;
import io.hawthornlb.core.catalogue.EditSummary;
import io.hawthornlb.core.catalogue.EditVerdict;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The outcomes of the last edits, bounded by their number, the same on every instance. */
final class EditHistory {

  /** Outcomes kept. */
  static final int MAX_OUTCOMES = 128;

  private final Map<String, EditOutcome> outcomes = new LinkedHashMap<>();

  /** Adds the outcome of an edit; the oldest leaves when there are too many. */
  void add(EditOutcome outcome) {
    outcomes.put(outcome.editId(), outcome);
    if (outcomes.size() > MAX_OUTCOMES) {
      Iterator<String> ids = outcomes.keySet().iterator();
      ids.next();
      ids.remove();
    }
  }

  /** Returns the outcome of an edit. */
  Optional<EditOutcome> find(String editId) {
    return Optional.ofNullable(outcomes.get(editId));
  }

  /** Returns the first accepted edit after a revision, as far as it is still known. */
  Optional<EditSummary> firstAcceptedAfter(long revision) {
    return outcomes.values().stream()
        .filter(each -> each.verdict() == EditVerdict.ACCEPTED && each.revision() > revision)
        .findFirst()
        .map(each -> new EditSummary(each.editId(), each.author(), each.revision()));
  }

  /** Returns all outcomes, the oldest first. */
  List<EditOutcome> all() {
    return List.copyOf(outcomes.values());
  }

  /** Replaces all outcomes. */
  void install(List<EditOutcome> copy) {
    outcomes.clear();
    copy.forEach(outcome -> outcomes.put(outcome.editId(), outcome));
  }
}
