package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import io.hawthornlb.gateway.wire.StreamEvent;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** An item at one holder, as far as its events and their records go. */
final class ItemRecorder {

  private final ItemOutput output;

  /** Creates an item that goes on behind what its holder has loaded. */
  ItemRecorder(String itemId, ItemProgress loaded, long epoch) {
    this.output = new ItemOutput(itemId, loaded, epoch);
  }

  long lastEventId() {
    return output.lastEventId();
  }

  /** Takes events of one run, all with the same data. */
  void take(long first, long last, String data) {
    for (long number = first; number <= last; number++) {
      byte[] bytes =
          ("id: " + number + "\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
      output.take(new StreamEvent(number, bytes));
    }
  }

  /** Returns a record of what came since the last one. */
  KeyedRecord record(String jobId) {
    return recordIfAny(jobId).orElseThrow();
  }

  /** The same, if anything came. */
  Optional<KeyedRecord> recordIfAny(String jobId) {
    return output.gained(1).map(gained -> JobRecords.gained(jobId, gained));
  }
}
