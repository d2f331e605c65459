package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import java.util.ArrayList;
import java.util.List;

/**
 * Chooses which destroyed records a holder writes again.
 *
 * <p>Failure: a job's records are destroyed and its holder is restarted. It would show as an
 * accepted job that nobody knows, or as a result that is another one. Guard: the holder writes them
 * again, in place of its next record of what items have gained.
 */
final class Restoration {

  private Restoration() {}

  /** Returns what another writer destroyed and this process knows, as much as fits an append. */
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
