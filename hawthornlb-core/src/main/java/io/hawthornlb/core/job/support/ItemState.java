package io.hawthornlb.core.job.support;

/** Where an item stands with the holder of its partition; see {@code item.yaml}. */
enum ItemState {
  FREE,
  ASSIGNED,
  WITHHELD,
  DONE
}
