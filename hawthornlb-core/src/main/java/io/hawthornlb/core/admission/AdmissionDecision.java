package io.hawthornlb.core.admission;

import io.hawthornlb.core.model.Refusal;

/** The answer to an offered request. */
public sealed interface AdmissionDecision {

  /** The request starts now. */
  record Admitted() implements AdmissionDecision {}

  /** The request waits; a {@link StartRequest} or {@link RefuseRequest} follows. */
  record Queued() implements AdmissionDecision {}

  /**
   * The request gets its final answer now.
   *
   * @param refusal the answer
   */
  record Refused(Refusal refusal) implements AdmissionDecision {}
}
