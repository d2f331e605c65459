package io.hawthornlb.app.entry;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.core.runonce.AttemptId;
import io.hawthornlb.core.runonce.EntryState;
import io.hawthornlb.core.runonce.RunOnceEntry;
import io.hawthornlb.core.runonce.RunOnceKey;
import io.hawthornlb.core.runonce.ServiceResult;
import io.hawthornlb.core.runonce.StoreEntries;
import io.hawthornlb.core.runonce.support.InMemoryReplicaTable;
import io.hawthornlb.net.codec.MessagePackCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Measures message size, CPU time and heap use of the entries that a replica stores. */
@Tag("bench")
class ReplicaBench {

  private static final InstanceId HOLDER = new InstanceId("entry-117");
  private static final Epoch EPOCH = new Epoch(100_000);
  private static final long NO_BOUND = 1L << 40;
  private static final int GROUP = 100;
  private static final ServiceResult RESULT = new ServiceResult(200, List.of(), "r".repeat(400));

  private final MessagePackCodec<PeerMessage> codec = PeerMessageTypes.codec();

  @Test
  void messages() {
    for (int entries : new int[] {1, 10, 100}) {
      report("store of " + entries + " intents", store(0, entries, false));
      report("store of " + entries + " results of 400 bytes", store(0, entries, true));
    }
  }

  private void report(String name, StoreEntries message) {
    InMemoryReplicaTable table = new InMemoryReplicaTable(new InstanceId("entry-0"), NO_BOUND);
    byte[] bytes = codec.encode(message);
    double encode = CapacityFixture.cpuMicros(() -> codec.encode(message));
    double handle =
        CapacityFixture.cpuMicros(
            () ->
                codec
                    .decode(bytes)
                    .ifPresent(store -> table.store((StoreEntries) store, CapacityFixture.START)));
    System.out.printf(
        Locale.ROOT,
        "| %s | %d bytes | %.1f us to encode | %.1f us to decode and handle |%n",
        name,
        bytes.length,
        encode,
        handle);
  }

  @Test
  void heap() {
    for (int keys : new int[] {2_000, 20_000, 100_000}) {
      long before = CapacityFixture.usedBytes();
      InMemoryReplicaTable table = new InMemoryReplicaTable(new InstanceId("entry-0"), NO_BOUND);
      for (int first = 0; first < keys; first += GROUP) {
        byte[] bytes = codec.encode(store(first, GROUP, true));
        codec
            .decode(bytes)
            .ifPresent(store -> table.store((StoreEntries) store, CapacityFixture.START));
      }
      double used = CapacityFixture.usedBytes() - before;
      System.out.printf(
          Locale.ROOT,
          "| replica with %d keys and results of 400 bytes | %.0f bytes a key |%n",
          table.size(),
          used / keys);
    }
  }

  private static StoreEntries store(int first, int count, boolean completed) {
    List<RunOnceEntry> entries = new ArrayList<>();
    for (int i = first; i < first + count; i++) {
      RunOnceEntry intent = intent(i);
      entries.add(completed ? intent.completed(RESULT) : intent);
    }
    return new StoreEntries(HOLDER, new PartitionId(17), EPOCH, Epoch.NONE, entries);
  }

  private static RunOnceEntry intent(int number) {
    return new RunOnceEntry(
        new RunOnceKey(new WorkspaceId("workspace-00042"), "check-in-" + number),
        String.format("%032x", number),
        new AttemptId(EPOCH, number),
        EntryState.INTENT,
        Optional.empty(),
        "",
        CapacityFixture.START);
  }
}
