package io.hawthornlb.standin.report;

import java.util.List;

/**
 * What came of a flow of requests.
 *
 * @param label the flow
 * @param sent requests that arrived
 * @param answered those with the whole and right answer
 * @param unfinished those without any end when the run ended
 * @param resent sendings beyond the first of a request, by what became of the one before
 * @param refused refusals by reason
 * @param refusedRun refusals by what they say of the run
 * @param failed requests without answer or refusal, by cause
 * @param cut answers that began and did not end, by cause
 * @param wrong answers that look whole and are wrong, by fault
 * @param firstToken time to the first token
 * @param tokenGap time between two tokens
 * @param total time to the whole answer
 */
public record FlowResult(
    FlowLabel label,
    long sent,
    long answered,
    long unfinished,
    List<Count> resent,
    List<Count> refused,
    List<Count> refusedRun,
    List<Count> failed,
    List<Count> cut,
    List<Count> wrong,
    Percentiles firstToken,
    Percentiles tokenGap,
    Percentiles total) {

  /** Returns the sum of counts. */
  public static long sum(List<Count> counts) {
    return counts.stream().mapToLong(Count::count).sum();
  }
}
