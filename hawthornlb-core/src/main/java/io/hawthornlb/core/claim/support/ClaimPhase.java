package io.hawthornlb.core.claim.support;

/** Whether a partition has a holder; see {@code claim.yaml}. */
enum ClaimPhase {
  FREE,
  HELD
}
