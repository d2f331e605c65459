package io.hawthornlb.core.batch.support;

import io.hawthornlb.core.model.InstanceId;
import java.util.HashMap;
import java.util.Map;

/** Online requests at an endpoint, by the entry that sent them, and those nobody has told of. */
final class OnlineCount {

  private final Map<InstanceId, Integer> entries = new HashMap<>();
  private int told;
  private int untold;

  /** Sets the count of an entry. */
  void set(InstanceId entry, int count) {
    Integer before = count == 0 ? entries.remove(entry) : entries.put(entry, count);
    told += count - (before == null ? 0 : before);
  }

  /** Sets how many requests a load report shows beyond those told. */
  void untold(int count) {
    untold = Math.max(0, count);
  }

  int told() {
    return told;
  }

  int total() {
    return told + untold;
  }
}
