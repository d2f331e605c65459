package io.hawthornlb.core.job.support;

/** Event in the life of an item of a running job; see {@code item.yaml}. */
enum ItemStep {
  /** The item is assigned to a dispatcher. */
  ASSIGNED,
  /** The item is taken from its dispatcher and must not be assigned again yet. */
  WITHHELD,
  /** The item may be assigned again. */
  RELEASED,
  /** The item has an outcome. */
  ENDED
}
