package io.hawthornlb.core.job.support;

/** What happens to an item; see {@code item.yaml}. */
enum ItemStep {
  /** A steward has it. */
  GIVEN,
  /** It was taken from its steward and must not be given out yet. */
  WITHHELD,
  /** It may be given out again. */
  GIVEN_BACK,
  /** It has an outcome. */
  ENDED
}
