package io.hawthornlb.core.claim.support;

/** What a record of the current epoch asks for; see {@code claim.yaml}. */
enum ClaimEvent {
  /** The writer claims for itself. */
  TAKEN,
  /** The holder claims for another instance. */
  HANDED_OVER,
  /** Somebody who is not the holder claims for another instance. */
  GIVEN_BY_OTHER,
  /** The holder lets go. */
  RELEASED,
  /** Somebody who is not the holder asks for a release. */
  RELEASED_BY_OTHER
}
