package io.hawthornlb.core.claim.support;

/** What the fold does on transitions; see {@code claim.yaml}. */
enum ClaimAction {
  /** The claim makes a new epoch. */
  HOLD,
  /** The partition has no holder until the next claim. */
  LET_GO
}
