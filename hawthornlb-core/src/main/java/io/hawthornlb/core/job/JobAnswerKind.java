package io.hawthornlb.core.job;

/** Result of a submission or cancellation. */
public enum JobAnswerKind {
  /** The job is durable. The holder gives the same answer when a known job is submitted again. */
  ACCEPTED,
  /** The cancellation is durable, or the job was already cancelled. */
  CANCELLED,
  /** Every item of the job ended before the cancellation. */
  ALREADY_ENDED,
  /**
   * This instance does not hold the partition; the request must go to the holder of the current
   * claim.
   */
  NOT_HOLDER,
  /** The request is refused; the answer carries the reason. */
  REFUSED
}
