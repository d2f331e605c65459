package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import io.hawthornlb.gateway.stream.StreamOrigin;
import io.hawthornlb.gateway.wire.StreamEvent;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Output and progress records of an item at one holder. */
final class ItemRecorder {

  /** What writes all texts. */
  static final StreamOrigin ORIGIN = new StreamOrigin("engine", "v1");

  private final ItemOutput output;

  /** Creates an item that continues from the progress that its holder has loaded. */
  ItemRecorder(String itemId, ItemProgress loaded, long epoch) {
    this.output = new ItemOutput(itemId, loaded, epoch);
  }

  long lastEventId() {
    return output.lastEventId();
  }

  /** Appends events of one attempt, all with the same data. */
  void append(long first, long last, String data) {
    output.writtenBy(ORIGIN);
    for (long number = first; number <= last; number++) {
      byte[] bytes =
          ("id: " + number + "\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
      output.append(new StreamEvent(number, bytes));
    }
  }

  /** Returns a record of the progress since the last record. */
  KeyedRecord record(String jobId) {
    return recordIfAny(jobId).orElseThrow();
  }

  /** Returns a record of the progress since the last record; empty if there is none. */
  Optional<KeyedRecord> recordIfAny(String jobId) {
    return output.newProgress(1).map(progress -> JobRecords.progress(jobId, progress));
  }
}
