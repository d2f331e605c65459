package io.hawthornlb.standin.report;

import java.util.List;

/**
 * The results of a flow of requests.
 *
 * @param label the flow
 * @param sent the number of requests that arrived
 * @param answered the number of requests with a complete and correct answer
 * @param unfinished the number of requests without an outcome when the run ended
 * @param resent the retries of requests, by the reason of the preceding attempt's outcome
 * @param refused the refusals, by reason
 * @param refusedRun the refusals, by what they say about whether the request ran
 * @param failed the requests without an answer or refusal, by cause
 * @param cut the answers that began but didn't end, by cause
 * @param wrong the answers that look complete but are wrong, by the kind of error
 * @param firstToken the time to the first token
 * @param tokenGap the time between two successive tokens
 * @param total the time to the complete answer
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

  /** Returns the sum of the counts of all names. */
  public static long sum(List<Count> counts) {
    return counts.stream().mapToLong(Count::count).sum();
  }
}
