package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import java.util.ArrayList;
import java.util.List;

/**
 * Selects the destroyed records that a holder writes again.
 *
 * <p>Another writer may destroy a job's records, and the job's holder may then restart. Without a
 * guard an accepted job would be lost, or a position would hold another result. Therefore the
 * holder writes the records again, in place of its next append of progress records.
 */
final class Restoration {

  private Restoration() {}

  /**
   * Returns the records that another writer has destroyed and that this process knows, as many as
   * fit one append.
   */
  static List<KeyedRecord> next(JobTable table, int partition, EventLog log) {
    List<KeyedRecord> records = new ArrayList<>();
    AppendSize size = new AppendSize();
    for (List<KeyedRecord> together : table.restorations()) {
      boolean large = !new AppendSize().add(together);
      if (large && !records.isEmpty()) {
        break;
      }
      records.addAll(together);
      if (!size.add(together)) {
        break;
      }
    }
    if (!records.isEmpty()) {
      log.important("job", "records.restored")
          .with("partition", partition)
          .with("records", records.size())
          .write();
    }
    return records;
  }
}
