package io.hawthornlb.standin.report;

import java.util.List;

/**
 * The result of a batch job.
 *
 * @param flow the flow that submitted the job
 * @param id the id that the job was given; blank if the job was never accepted
 * @param status the last observed status
 * @param items the number of submitted items
 * @param completed the number of completed items
 * @param failed the number of failed items
 * @param acceptedMillis the time from the intended submission to the acceptance
 * @param doneMillis the time from the intended submission to the end of the job; 0 if the job did
 *     not end
 * @param dueMillis the due time of the job, counted from its submission; 0 if it has none
 * @param itemsPerSecond the ended items per second between the acceptance and the end of the job
 * @param faults the faults found in the job or its results
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

  /** Makes a defensive copy of the faults. */
  public JobResult {
    faults = List.copyOf(faults);
  }
}
