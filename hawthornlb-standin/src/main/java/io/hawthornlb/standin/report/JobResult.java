package io.hawthornlb.standin.report;

import java.util.List;

/**
 * What came of a batch job.
 *
 * @param flow the flow that submitted it
 * @param id the id that it got; blank when it was never accepted
 * @param status the last status seen
 * @param items items submitted
 * @param completed items that completed
 * @param failed items that failed
 * @param acceptedMillis from the intended submission to the acceptance
 * @param doneMillis from the intended submission to the end; 0 when it did not end
 * @param dueMillis when it was due after its submission; 0 for never
 * @param itemsPerSecond ended items a second between acceptance and end
 * @param faults what is wrong with it or its results
 */
public record JobResult(
    String flow,
    String id,
    String status,
    int items,
    int completed,
    int failed,
    long acceptedMillis,
    long doneMillis,
    long dueMillis,
    double itemsPerSecond,
    List<String> faults) {

  /** Copies the faults. */
  public JobResult {
    faults = List.copyOf(faults);
  }
}
