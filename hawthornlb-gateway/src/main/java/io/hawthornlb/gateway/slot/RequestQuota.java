package io.hawthornlb.gateway.slot;

import io.hawthornlb.core.workspace.LimitDecision;
import java.time.Instant;

/** Decides whether a request for a slot lies within the limit of its workspace. */
public interface RequestQuota {

  /** Quota that allows all requests. */
  RequestQuota UNLIMITED =
      new RequestQuota() {
        @Override
        public LimitDecision charge(SlotRequest request, Instant now) {
          return LimitDecision.ALLOWED;
        }

        @Override
        public void refund(SlotRequest request, Instant now) {
          // Nothing was charged.
        }
      };

  /** Charges a request to its workspace, unless the request exceeds the limit. */
  LimitDecision charge(SlotRequest request, Instant now);

  /** Takes back the charge of a request that got no slot. */
  void refund(SlotRequest request, Instant now);

  /**
   * Takes back the charge of a request that another process may have charged, and that has not run.
   */
  default void refundElsewhere(SlotRequest request, Instant now) {
    refund(request, now);
  }
}
