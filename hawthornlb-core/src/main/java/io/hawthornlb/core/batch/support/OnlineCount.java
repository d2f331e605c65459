package io.hawthornlb.core.batch.support;

import io.hawthornlb.core.model.InstanceId;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts the online requests at an endpoint: those that each entry instance has reported, and those
 * that only a load report shows.
 */
final class OnlineCount {

  private final Map<InstanceId, Integer> entries = new HashMap<>();
  private int reported;
  private int unreported;

  /** Sets the count of an entry instance. */
  void set(InstanceId entry, int count) {
    Integer before = count == 0 ? entries.remove(entry) : entries.put(entry, count);
    reported += count - (before == null ? 0 : before);
  }

  /** Sets the number of requests that a load report shows in addition to the reported ones. */
  void setUnreported(int count) {
    unreported = Math.max(0, count);
  }

  int reported() {
    return reported;
  }

  int total() {
    return reported + unreported;
  }
}
