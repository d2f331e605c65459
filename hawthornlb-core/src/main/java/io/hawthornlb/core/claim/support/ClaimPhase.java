package io.hawthornlb.core.claim.support;

/** State of a partition in the stream of claims; see {@code claim.yaml}. */
enum ClaimPhase {
  FREE,
  HELD
}
