package io.hawthornlb.core.job.support;

/** State of an item of a running job at the holder of its partition; see {@code item.yaml}. */
enum ItemState {
  FREE,
  ASSIGNED,
  WITHHELD,
  DONE
}
