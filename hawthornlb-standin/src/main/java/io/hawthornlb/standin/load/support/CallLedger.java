package io.hawthornlb.standin.load.support;

import io.hawthornlb.standin.report.CallComparison;
import io.hawthornlb.standin.report.Outcome;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;

/**
 * Records the outcomes that callers received for each call with an idempotency key. Safe for use by
 * multiple threads.
 */
public final class CallLedger {

  private static final int MAX_LISTED_KEYS = 100;

  private final Map<String, CallerKnowledge> calls = new ConcurrentSkipListMap<>();

  /** What a caller knows about a call, in ascending order of precedence. */
  enum CallerKnowledge {
    /** Every outcome so far said that the call did not run. */
    NOT_RUN,
    /** The call may have run. */
    UNKNOWN,
    /** The call was answered. */
    ANSWERED
  }

  /** Records the outcome of one attempt of a call. */
  public void recordOutcome(String key, Outcome outcome) {
    calls.merge(key, knowledge(outcome), (a, b) -> a.compareTo(b) >= 0 ? a : b);
  }

  /** Records that a call is about to be sent. Its outcome may remain unknown. */
  public void recordSent(String key) {
    calls.merge(key, CallerKnowledge.NOT_RUN, (a, b) -> a);
  }

  /** Compares the recorded outcomes with the number of runs of each key at all services. */
  public CallComparison compare(Map<String, Long> runs) {
    int acknowledged = 0;
    List<String> lost = new ArrayList<>();
    List<String> doubled = new ArrayList<>();
    List<String> untrue = new ArrayList<>();
    for (Map.Entry<String, CallerKnowledge> call : calls.entrySet()) {
      long ran = runs.getOrDefault(call.getKey(), 0L);
      acknowledged += call.getValue() == CallerKnowledge.ANSWERED ? 1 : 0;
      addIf(lost, call.getKey(), call.getValue() == CallerKnowledge.ANSWERED && ran == 0);
      addIf(doubled, call.getKey(), ran > 1);
      addIf(untrue, call.getKey(), call.getValue() == CallerKnowledge.NOT_RUN && ran > 0);
    }
    return new CallComparison(true, acknowledged, lost, doubled, untrue);
  }

  private static void addIf(List<String> keys, String key, boolean condition) {
    if (condition && keys.size() < MAX_LISTED_KEYS) {
      keys.add(key);
    }
  }

  private static CallerKnowledge knowledge(Outcome outcome) {
    if (outcome.kind() == Outcome.Kind.ANSWERED) {
      return CallerKnowledge.ANSWERED;
    }
    return outcome.run().equals(Outcome.NOT_RUN)
        ? CallerKnowledge.NOT_RUN
        : CallerKnowledge.UNKNOWN;
  }
}
