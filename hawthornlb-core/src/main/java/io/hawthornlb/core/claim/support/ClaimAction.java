package io.hawthornlb.core.claim.support;

/** Action of the fold on a state transition; see {@code claim.yaml}. */
enum ClaimAction {
  /** The claim starts a new epoch with its holder. */
  SET_HOLDER,
  /** The partition loses its holder and has none until the next claim. */
  CLEAR_HOLDER
}
