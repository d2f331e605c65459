package io.hawthornlb.app.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.hawthornlb.core.catalogue.CatalogueEdit;
import io.hawthornlb.core.catalogue.Limits;
import io.hawthornlb.core.catalogue.WorkspaceEntry;
import io.hawthornlb.core.catalogue.support.CatalogueFold;
import io.hawthornlb.core.catalogue.support.DefaultCatalogueChecker;
import io.hawthornlb.core.claim.ClaimRecord;
import io.hawthornlb.core.claim.RenewalRecord;
import io.hawthornlb.core.claim.support.ClaimFold;
import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.log.RecordId;
import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.core.membership.ListedProcess;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.net.codec.TypeRegistry;
import io.hawthornlb.net.platform.support.RecordCodec;
import io.hawthornlb.net.platform.support.SharedRecordTypes;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Measures the size of the data that an entry instance reads, by the size of the fleet. */
@Tag("bench")
class ControlRecordBench {

  private static final int RENEWALS_PER_WRITER = 80;

  private final RecordCodec codec =
      new RecordCodec(SharedRecordTypes.register(TypeRegistry.builder()).build());

  @Test
  void catalogueSnapshots() {
    for (int workspaces : new int[] {500, 5_000, 50_000}) {
      CatalogueFold fold = new CatalogueFold(new DefaultCatalogueChecker());
      fold.apply(edit(0, -1, 0, workspaces));
      int one = bytes(edit(1, 0, 1, 1).body());
      report(
          "catalogue snapshot, " + workspaces + " workspaces, edit of one " + one + " bytes",
          fold.snapshot());
    }
  }

  @Test
  void claimSnapshots() {
    for (int partitions : new int[] {64, 256, 1_024}) {
      report("claim snapshot, 13 writers, " + partitions + " partitions", claims(partitions, 13));
    }
    for (int writers : new int[] {13, 100, 390}) {
      report("claim snapshot, 64 partitions, " + writers + " writers", claims(64, writers));
    }
    System.out.printf("| renewal | %d bytes |%n", bytes(renewal()));
  }

  @Test
  void instanceLists() throws IOException {
    ObjectMapper mapper = new ObjectMapper();
    for (int processes : new int[] {30, 300, 990}) {
      List<Map<String, String>> elements =
          CapacityFixture.listed(processes).stream().map(ControlRecordBench::element).toList();
      byte[] json =
          mapper.writeValueAsBytes(
              Map.of("asOf", "2026-12-02T10:00:00.123Z", "instances", elements));
      double parse =
          CapacityFixture.cpuMicros(
              () -> {
                try {
                  mapper.readTree(json);
                } catch (IOException e) {
                  throw new IllegalStateException(e);
                }
              });
      System.out.printf(
          Locale.ROOT,
          "| list, %d processes | %d bytes | %.0f us to parse |%n",
          processes,
          json.length,
          parse);
    }
  }

  private static Map<String, String> element(ListedProcess process) {
    return Map.of(
        "id", process.id(),
        "kind", "endpoint",
        "service", CapacityFixture.SERVICE.value(),
        "dataCentre", process.dataCentre().value(),
        "address", process.address(),
        "state", "live");
  }

  private void report(String name, List<? extends RecordBody> parts) {
    long bytes = parts.stream().mapToLong(this::bytes).sum();
    System.out.printf("| %s | %d bytes in %d records |%n", name, bytes, parts.size());
  }

  private int bytes(RecordBody body) {
    RecordId id = new RecordId(new InstanceId("entry-117"), 100_000);
    return codec.encode(new AppendRecord(StreamName.CLAIMS, id, body)).length;
  }

  private static List<? extends RecordBody> claims(int partitions, int writers) {
    ClaimFold fold = new ClaimFold(partitions);
    List<InstanceId> replicas = List.of(new InstanceId("entry-11"), new InstanceId("entry-12"));
    for (int i = 0; i < partitions; i++) {
      RecordBody claim =
          new ClaimRecord(
              new PartitionId(i), new InstanceId("entry-" + i % writers), Epoch.NONE, replicas);
      fold.apply(record(fold.nextOffset(), i % writers, i / writers, claim));
    }
    int first = partitions / writers + 1;
    for (int i = 0; i < writers * RENEWALS_PER_WRITER; i++) {
      fold.apply(record(fold.nextOffset(), i % writers, first + i / writers, renewal()));
    }
    return fold.snapshot();
  }

  private static RecordBody renewal() {
    return new RenewalRecord(new DataCentre("nadi-b"), Duration.ofSeconds(1), false);
  }

  private static LogRecord record(long offset, int writer, long sequence, RecordBody body) {
    RecordId id = new RecordId(new InstanceId("entry-" + writer), sequence);
    return new LogRecord(offset, Instant.EPOCH, id, body);
  }

  private static LogRecord edit(long offset, long base, int first, int count) {
    CatalogueEdit.Builder edit = CatalogueEdit.builder("e-" + offset, base, "amal");
    for (int i = first; i < first + count; i++) {
      edit.put(
          new WorkspaceEntry(
              new WorkspaceId(String.format("workspace-%05d", i)),
              "owner",
              List.of(String.format("%064x", i)),
              Limits.DEFAULT,
              1));
    }
    return record(offset, 1, offset, edit.build());
  }
}
