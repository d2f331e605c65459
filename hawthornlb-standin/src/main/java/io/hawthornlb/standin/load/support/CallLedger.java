package io.hawthornlb.standin.load.support;

import io.hawthornlb.standin.report.CallComparison;
import io.hawthornlb.standin.report.Outcome;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;

/** Remembers what callers were told of each keyed call. Safe for use by many threads. */
public final class CallLedger {

  private static final int MOST_NAMED = 100;

  private final Map<String, Told> calls = new ConcurrentSkipListMap<>();

  /** What a caller knows of a call. */
  enum Told {
    /** Nothing but that it did not run. */
    NOT_RUN,
    /** It may have run. */
    UNKNOWN,
    /** It was answered. */
    ANSWERED
  }

  /** Notes the outcome of one sending of a call. */
  public void told(String key, Outcome outcome) {
    calls.merge(key, knowledge(outcome), (a, b) -> a.compareTo(b) >= 0 ? a : b);
  }

  /** Notes that a call is under way whose end may never be known. */
  public void sent(String key) {
    calls.merge(key, Told.NOT_RUN, (a, b) -> a);
  }

  /** Compares with how often each key ran, over all services. */
  public CallComparison compare(Map<String, Long> runs) {
    int acknowledged = 0;
    List<String> lost = new ArrayList<>();
    List<String> doubled = new ArrayList<>();
    List<String> untrue = new ArrayList<>();
    for (Map.Entry<String, Told> call : calls.entrySet()) {
      long ran = runs.getOrDefault(call.getKey(), 0L);
      acknowledged += call.getValue() == Told.ANSWERED ? 1 : 0;
      note(lost, call.getKey(), call.getValue() == Told.ANSWERED && ran == 0);
      note(doubled, call.getKey(), ran > 1);
      note(untrue, call.getKey(), call.getValue() == Told.NOT_RUN && ran > 0);
    }
    return new CallComparison(true, acknowledged, lost, doubled, untrue);
  }

  private static void note(List<String> keys, String key, boolean broken) {
    if (broken && keys.size() < MOST_NAMED) {
      keys.add(key);
    }
  }

  private static Told knowledge(Outcome outcome) {
    if (outcome.kind() == Outcome.Kind.ANSWERED) {
      return Told.ANSWERED;
    }
    return outcome.run().equals(Outcome.NOT_RUN) ? Told.NOT_RUN : Told.UNKNOWN;
  }
}
