package io.hawthornlb.app.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hawthornlb.core.catalogue.Catalogue;
import io.hawthornlb.core.catalogue.Limits;
import io.hawthornlb.core.catalogue.Repeatability;
import io.hawthornlb.core.catalogue.ServiceEntry;
import io.hawthornlb.core.catalogue.ServiceKind;
import io.hawthornlb.core.catalogue.WorkspaceEntry;
import io.hawthornlb.core.model.Finding;
import io.hawthornlb.core.model.RequestClass;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.model.WorkspaceId;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class CatalogueReaderTest {

  private static final String HASH = KeyHashes.hash("banquets");

  private final CatalogueReader reader = new CatalogueReader();

  private List<String> findings(String yaml) {
    return reader.read("c.yaml", yaml).getError().stream().map(Finding::text).toList();
  }

  @Test
  void readsServicesAndWorkspaces() {
    String yaml =
        """
        services:
          brief-llm:
            owner: coordination
            kind: engine
            class: bulk
            limits: {requestsPerSecond: 20.5, concurrent: 7, body: 64KiB}
            deadline: 30s
            firstToken: 1600ms
            repeatability: idempotent
            batchWeight: 0.25
            resultRetention: 7d
          checkin-app: {owner: door, kind: plain, deadline: 1s, repeatability: never}
        workspaces:
          banquets: {owner: events, keyHashes: [%s], weight: 2}
        """
            .formatted(HASH);

    Catalogue catalogue = reader.read("c.yaml", yaml).get();

    ServiceEntry brief =
        ServiceEntry.builder(new ServiceName("brief-llm"), "coordination", ServiceKind.ENGINE)
            .requestClass(RequestClass.BULK)
            .limits(new Limits(20.5, 7, 65_536))
            .deadline(Duration.ofSeconds(30))
            .batchWeight(0.25)
            .resultRetention(Duration.ofDays(7))
            .build();
    assertEquals(brief, catalogue.services().get(brief.name()));
    ServiceEntry checkin = catalogue.services().get(new ServiceName("checkin-app"));
    assertEquals(Repeatability.NEVER, checkin.repeatability());
    assertEquals(Duration.ofSeconds(1), checkin.firstToken());
    assertEquals(
        Map.of(
            new WorkspaceId("banquets"),
            new WorkspaceEntry(
                new WorkspaceId("banquets"), "events", List.of(HASH), Limits.DEFAULT, 2)),
        catalogue.workspaces());
  }

  @Test
  void reportsAllFaultsAtOnce() {
    String yaml =
        """
        services:
          Brief LLM: {owner: a, kind: engine}
          brief: {kind: engin, class: batch, deadline: 1s, firstToken: 2s, batchWeight: 2}
          empty:
        workspaces:
          a: {owner: x, keyHashes: [%1$s]}
          b: {owner: x, keyHashes: [%1$s], limits: {concurrent: 0}}
        """
            .formatted(HASH);

    assertEquals(
        List.of(
            "c.yaml:2: services.Brief LLM: " + SettingValues.NAME_EXPECTED,
            "c.yaml:3: services.brief.owner: missing",
            "c.yaml:3: services.brief.kind: expected one of engine, plain, found engin",
            "c.yaml:3: services.brief.class: batch is the class of job items; expected interactive"
                + " or bulk",
            "c.yaml:3: services.brief.firstToken: must not be longer than the deadline",
            "c.yaml:3: services.brief.batchWeight: expected a number from 0.0 to 1.0, found 2",
            "c.yaml:4: services.empty: expected keys with values",
            "c.yaml:4: services.empty.owner: missing",
            "c.yaml:4: services.empty.kind: missing",
            "c.yaml:7: workspaces.b.keyHashes: workspace a has the same key; a key names one",
            "c.yaml:7: workspaces.b.limits.concurrent: expected a whole number from 1 to 1000000,"
                + " found 0"),
        findings(yaml));
  }

  @Property(tries = 100, seed = "20261202")
  void readsBackWhatTheWriterWrote(
      @ForAll ServiceKind kind,
      @ForAll Repeatability repeatability,
      @ForAll @IntRange(min = 1, max = 100_000) int millis,
      @ForAll @DoubleRange(min = 0, max = 1) double batchWeight,
      @ForAll @IntRange(min = 1, max = 1 << 30) int bytes) {
    Duration deadline = Duration.ofMillis(millis);
    Duration firstToken =
        deadline.compareTo(ServiceEntry.DEFAULT_FIRST_TOKEN) < 0
            ? deadline
            : ServiceEntry.DEFAULT_FIRST_TOKEN;
    ServiceEntry service =
        ServiceEntry.builder(new ServiceName("s"), "owner: of \"all\"", kind)
            .repeatability(repeatability)
            .deadline(deadline)
            .firstToken(firstToken)
            .limits(new Limits(1 + batchWeight, millis, bytes))
            .batchWeight(batchWeight)
            .build();
    WorkspaceEntry workspace =
        new WorkspaceEntry(new WorkspaceId("w"), "7", List.of(HASH), Limits.DEFAULT, 3);
    Catalogue catalogue =
        new Catalogue(-1, Map.of(service.name(), service), Map.of(workspace.id(), workspace));

    String yaml = new CatalogueWriter().write(catalogue);

    assertEquals(catalogue, reader.read("c.yaml", yaml).get());
  }
}
