package io.hawthornlb.core.admission;

import io.hawthornlb.core.model.Refusal;

/** Decision on an offered request. */
public sealed interface AdmissionDecision {

  /** The request starts now. */
  record Admitted() implements AdmissionDecision {}

  /** The request waits; a {@link StartRequest} or {@link RefuseRequest} for it follows. */
  record Queued() implements AdmissionDecision {}

  /**
   * The request is refused now; this decision is final.
   *
   * @param refusal the refusal to send to the caller
   */
  record Refused(Refusal refusal) implements AdmissionDecision {}
}
