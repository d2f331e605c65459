package io.hawthornlb.core.model;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Final answer to a request that was not served.
 *
 * @param reason why the request was refused
 * @param run whether an endpoint may have executed the request
 * @param retryAfter the delay after which the caller may retry, or empty if a retry cannot help
 * @param detail one sentence for the caller
 * @param findings the faults of the input with their positions; empty for other reasons
 */
public record Refusal(
    RefusalReason reason,
    RunStatus run,
    Optional<Duration> retryAfter,
    String detail,
    List<Finding> findings) {

  /** Copies the list of findings. */
  public Refusal {
    findings = List.copyOf(findings);
  }

  /** Returns a refusal of a request that no endpoint has received. */
  public static Refusal notRun(RefusalReason reason, String detail) {
    return new Refusal(reason, RunStatus.NOT_RUN, Optional.empty(), detail, List.of());
  }

  /** Returns a refusal of a request that an endpoint may have executed. */
  public static Refusal mayHaveRun(RefusalReason reason, String detail) {
    return new Refusal(reason, RunStatus.MAY_HAVE_RUN, Optional.empty(), detail, List.of());
  }

  /** Returns this refusal with a delay after which the caller may retry. */
  public Refusal retryAfter(Duration delay) {
    return new Refusal(reason, run, Optional.of(delay), detail, findings);
  }

  /** Returns this refusal with the findings of a check. */
  public Refusal withFindings(List<Finding> found) {
    return new Refusal(reason, run, retryAfter, detail, found);
  }
}
