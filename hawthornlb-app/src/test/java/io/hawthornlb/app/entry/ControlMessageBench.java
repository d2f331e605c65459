package io.hawthornlb.app.entry;

import io.hawthornlb.app.batch.BacklogNotice;
import io.hawthornlb.core.admission.Demand;
import io.hawthornlb.core.admission.DemandDigest;
import io.hawthornlb.core.admission.ShareKey;
import io.hawthornlb.core.batch.OnlineNotice;
import io.hawthornlb.core.endpoint.LoadReport;
import io.hawthornlb.core.job.ServiceBacklog;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.core.routing.InFlight;
import io.hawthornlb.core.routing.InFlightDigest;
import io.hawthornlb.core.routing.PrefixEvent;
import io.hawthornlb.net.codec.MessagePackCodec;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Measures the size of control messages and the CPU time to encode and to handle one. */
@Tag("bench")
class ControlMessageBench {

  private static final Instant NOW = Instant.parse("2026-12-02T10:00:00.123456Z");
  private static final int ENDPOINTS = 600;
  private static final InstanceId SENDER = new InstanceId("entry-117");

  private final MessagePackCodec<PeerMessage> codec = PeerMessageTypes.codec();
  private final OnlinePolicies policies = CapacityFixture.policies(ENDPOINTS, 390);

  @Test
  void inFlightDigests() {
    for (int counts : new int[] {1, 10, 100}) {
      PeerMessage digest = inFlight(counts);
      report("in flight, " + counts + " endpoints", digest, this::handleInFlight);
    }
    RelayedMessage relayed = new RelayedMessage(codec.encode(inFlight(10)));
    report("relayed in flight, 10 endpoints", relayed, message -> codec.decode(relayed.content()));
  }

  @Test
  void demandDigests() {
    for (int demands : new int[] {10, 100, 1_000}) {
      report("demand, " + demands + " keys", demand(demands), this::handleDemand);
    }
  }

  @Test
  void endpointReports() {
    report("load", new LoadNotice(CapacityFixture.endpoint(17), load()), this::handleLoad);
    for (int events : new int[] {1, 10, 100}) {
      report("cache, " + events + " events", cache(events), this::handleCache);
    }
  }

  @Test
  void batchNotices() {
    report("online", new OnlineNotice(SENDER, CapacityFixture.endpoint(17), 3), message -> {});
    for (int services : new int[] {1, 5, 33}) {
      List<ServiceBacklog> backlog =
          IntStream.range(0, services)
              .mapToObj(i -> new ServiceBacklog(new ServiceName("model-" + i), 40_000, NOW))
              .toList();
      BacklogNotice notice = new BacklogNotice(SENDER, new PartitionId(17), backlog);
      report("backlog, " + services + " services", notice, message -> {});
    }
  }

  private void report(String name, PeerMessage message, Consumer<PeerMessage> handler) {
    byte[] bytes = codec.encode(message);
    double encode = CapacityFixture.cpuMicros(() -> codec.encode(message));
    double handle = CapacityFixture.cpuMicros(() -> codec.decode(bytes).ifPresent(handler));
    System.out.printf(
        Locale.ROOT,
        "| %s | %d bytes | %.1f us to encode | %.1f us to decode and handle |%n",
        name,
        bytes.length,
        encode,
        handle);
  }

  private static InFlightDigest inFlight(int counts) {
    return new InFlightDigest(
        SENDER,
        NOW,
        false,
        IntStream.range(0, counts)
            .mapToObj(i -> new InFlight(CapacityFixture.endpoint(i), 1 + i % 7))
            .toList());
  }

  private static DemandDigest demand(int keys) {
    List<Demand> demands =
        IntStream.range(0, keys)
            .mapToObj(i -> new Demand(CapacityFixture.key(ShareKey.Kind.WORKSPACE, i), 1.5))
            .toList();
    return new DemandDigest(SENDER, new DataCentre("nadi-b"), 100_000, demands);
  }

  private static LoadReport load() {
    return new LoadReport(NOW, 11, 2, 16, 41_000, 60_000, 351.5, 4);
  }

  private static CacheNotice cache(int events) {
    List<PrefixEvent> stored =
        LongStream.range(0, events)
            .mapToObj(i -> new PrefixEvent(i, prefix(i), PrefixEvent.Kind.STORED))
            .toList();
    return new CacheNotice(CapacityFixture.endpoint(17), stored);
  }

  private static String prefix(long number) {
    return String.format("%016x", number);
  }

  private void handleInFlight(PeerMessage message) {
    policies.inFlight().onDigest((InFlightDigest) message, NOW);
  }

  private void handleDemand(PeerMessage message) {
    policies.shares().onDigest((DemandDigest) message, NOW);
  }

  private void handleLoad(PeerMessage message) {
    LoadNotice notice = (LoadNotice) message;
    policies.endpoints().onLoad(notice.endpoint(), notice.report(), NOW);
  }

  private void handleCache(PeerMessage message) {
    CacheNotice notice = (CacheNotice) message;
    policies.prefixes().onEvents(notice.endpoint(), notice.events(), NOW);
  }
}
