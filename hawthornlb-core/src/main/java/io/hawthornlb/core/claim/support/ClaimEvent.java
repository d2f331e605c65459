package io.hawthornlb.core.claim.support;

/** Event that a record of the current epoch causes; see {@code claim.yaml}. */
enum ClaimEvent {
  /** The writer claims the partition for itself. */
  TAKEN,
  /** The holder claims the partition for another instance. */
  HANDED_OVER,
  /** An instance that is not the holder claims the partition for another instance. */
  ASSIGNED_BY_OTHER,
  /** The holder releases the partition. */
  RELEASED,
  /** An instance that is not the holder tries to release the partition. */
  RELEASED_BY_OTHER
}
