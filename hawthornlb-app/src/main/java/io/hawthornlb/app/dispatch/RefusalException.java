package io.hawthornlb.app.dispatch;

import io.hawthornlb.core.model.Refusal;

/** Propagates the refusal of a request through a reactive chain. */
public class RefusalException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final transient Refusal refusal;

  /** Creates the exception for a refusal. */
  public RefusalException(Refusal refusal) {
    super(refusal.reason().wireName() + ": " + refusal.detail(), null, false, false);
    this.refusal = refusal;
  }

  /** Returns the refusal. */
  public Refusal refusal() {
    return refusal;
  }
}
