package io.hawthornlb.net.platform.support;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hawthornlb.core.catalogue.CatalogueEdit;
import io.hawthornlb.core.catalogue.CatalogueSnapshot;
import io.hawthornlb.core.catalogue.EditOutcome;
import io.hawthornlb.core.catalogue.EditSummary;
import io.hawthornlb.core.catalogue.Limits;
import io.hawthornlb.core.catalogue.ServiceEntry;
import io.hawthornlb.core.catalogue.ServiceKind;
import io.hawthornlb.core.catalogue.WorkspaceEntry;
import io.hawthornlb.core.claim.ClaimRecord;
import io.hawthornlb.core.claim.ClaimSnapshot;
import io.hawthornlb.core.claim.ClaimState;
import io.hawthornlb.core.claim.ReleaseRecord;
import io.hawthornlb.core.claim.RenewalRecord;
import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.log.RecordId;
import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.core.log.WriterWindow;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.Finding;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.net.codec.TypeRegistry;
import io.hawthornlb.net.platform.StoredRecord;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class SharedRecordTypesTest {

  private static final InstanceId INSTANCE = new InstanceId("n-1");
  private static final PartitionId PARTITION = new PartitionId(3);
  private static final List<WriterWindow> WRITERS =
      List.of(new WriterWindow(INSTANCE, 4, List.of(5L, 1L << 40)));
  private static final ServiceEntry SERVICE =
      ServiceEntry.builder(new ServiceName("log-reader"), "owner", ServiceKind.ENGINE).build();
  private static final WorkspaceEntry WORKSPACE =
      new WorkspaceEntry(
          new WorkspaceId("ws"), "owner", List.of("0".repeat(64)), Limits.DEFAULT, 2.5);
  private static final CatalogueEdit EDIT =
      CatalogueEdit.builder("e", -1, "ana")
          .put(SERVICE)
          .put(WORKSPACE)
          .remove(new ServiceName("old"))
          .remove(new WorkspaceId("gone"))
          .build();
  private static final List<EditOutcome> OUTCOMES =
      List.of(
          EditOutcome.accepted(EDIT, 5),
          EditOutcome.lost(EDIT, 5, Optional.of(new EditSummary("f", "ben", 6))),
          EditOutcome.invalid(EDIT, 5, List.of(new Finding("edit", 0, "path", "message"))));

  private final RecordCodec codec =
      new RecordCodec(SharedRecordTypes.register(TypeRegistry.builder()).build());

  static List<RecordBody> records() {
    return List.of(
        EDIT,
        new CatalogueSnapshot(
            1, 9, 0, 2, WRITERS, 5, OUTCOMES, List.of(SERVICE), List.of(WORKSPACE)),
        new ClaimRecord(PARTITION, INSTANCE, Epoch.NONE, List.of(INSTANCE)),
        new RenewalRecord(new DataCentre("ruwi"), Duration.ofSeconds(1), true),
        new ReleaseRecord(PARTITION, new Epoch(7)),
        new ClaimSnapshot(
            1,
            9,
            0,
            1,
            WRITERS,
            List.of(
                new ClaimState(PARTITION, new Epoch(7), Optional.of(INSTANCE), List.of()),
                new ClaimState(PARTITION, new Epoch(8), Optional.empty(), List.of(INSTANCE)))));
  }

  @ParameterizedTest
  @MethodSource("records")
  void recordsSurviveEncoding(RecordBody body) {
    RecordId id = new RecordId(INSTANCE, 1);
    byte[] data = codec.encode(new AppendRecord(StreamName.CLAIMS, id, body));

    assertEquals(body, codec.decode(new StoredRecord(3, Instant.EPOCH, data)).body());
  }
}
