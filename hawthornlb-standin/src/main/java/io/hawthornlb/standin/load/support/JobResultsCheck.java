package io.hawthornlb.standin.load.support;

import com.fasterxml.jackson.databind.JsonNode;
import io.hawthornlb.standin.report.Outcome;
import io.hawthornlb.standin.support.WireJson;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Checks each result line of a job, and then whether results are missing. */
public final class JobResultsCheck {

  private static final int MAX_FAULTS = 20;

  private final Map<String, String> expected;
  private final Set<String> seen = new HashSet<>();
  private final List<String> faults = new ArrayList<>();
  private int completed;
  private int failed;

  /** Creates a check for the expected answers by item id; blank for an item that must fail. */
  public JobResultsCheck(Map<String, String> expected) {
    this.expected = Map.copyOf(expected);
  }

  /** Checks one line of the results. */
  public void line(String line) {
    try {
      item(WireJson.mapper().readTree(line));
    } catch (IOException e) {
      fault("a result line isn't valid JSON");
    }
  }

  /**
   * Returns the first 20 faults of a job that has ended.
   *
   * @param cancelled whether the job was cancelled; if not, items without a result are a fault
   */
  public List<String> faults(boolean cancelled) {
    List<String> missing =
        expected.keySet().stream().filter(id -> !seen.contains(id)).sorted().toList();
    if (!missing.isEmpty() && !cancelled) {
      fault(missing.size() + " items without result, first " + missing.get(0));
    }
    return List.copyOf(faults);
  }

  /** Returns the number of completed items. */
  public int completed() {
    return completed;
  }

  /** Returns the number of failed items. */
  public int failed() {
    return failed;
  }

  private void item(JsonNode result) {
    String id = result.path("custom_id").asText("");
    String wanted = expected.get(id);
    if (wanted == null) {
      fault("result of an unknown item " + id);
    } else if (!seen.add(id)) {
      fault("second result of " + id);
    } else if (result.path("status").asText("").equals("completed")) {
      completed++;
      answer(id, wanted, result.path("response"));
    } else {
      failed++;
      if (!wanted.isEmpty()) {
        fault(id + " failed: " + result.path("error"));
      }
    }
  }

  private void answer(String id, String wanted, JsonNode response) {
    if (wanted.isEmpty()) {
      fault(id + " completed although it must fail");
      return;
    }
    JsonNode body = response.has("body") ? response.path("body") : response;
    Outcome outcome = AnswerChecks.compare(wanted, AnswerChecks.contentOf(body));
    if (outcome.kind() != Outcome.Kind.ANSWERED) {
      fault(id + " has a wrong answer: " + outcome.reason());
    }
  }

  private void fault(String text) {
    if (faults.size() < MAX_FAULTS) {
      faults.add(text);
    }
  }
}
