package io.hawthornlb.core.job;

/** What became of a submission or cancellation. */
public enum JobAnswerKind {
  /** The job is durable; a resend of a known job gets this too. */
  ACCEPTED,
  /** The cancellation is durable, or the job had been cancelled before. */
  CANCELLED,
  /** Every item had ended before the cancellation. */
  ALREADY_ENDED,
  /** This instance does not hold the partition; ask the holder of the current claim. */
  NOT_HOLDER,
  /** Refused, with the reason. */
  REFUSED
}
