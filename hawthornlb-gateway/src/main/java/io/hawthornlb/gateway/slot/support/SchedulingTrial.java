package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.core.learned.LearnedState;
import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.work.WorkSize;
import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.slot.RequestQuota;
import io.hawthornlb.gateway.slot.SchedulingSettings;
import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import io.hawthornlb.gateway.wire.ReportedLoad;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * Makes the decisions of a coordinator once where callers compete and endpoints report a pace, so
 * that the class archive of a build contains their classes. The trial gateways run without
 * contention, as most deployments do.
 */
public final class SchedulingTrial {

  private static final String SERVICE = "trial";
  private static final int SLOTS = 8;

  /** As many as find a slot, wait for one, and are refused. */
  private static final int REQUESTS = 2 * SLOTS;

  private final DefaultSlotCoordinator coordinator;
  private Instant now = Instant.EPOCH;
  private long numbers;

  private SchedulingTrial() {
    EndpointDirectory directory = new EndpointDirectory();
    InetSocketAddress nowhere = new InetSocketAddress("127.0.0.1", 1);
    directory.put(new EndpointRecord("e", SERVICE, nowhere, "a", SLOTS, false));
    SchedulingSettings contended = new SchedulingSettings(true);
    coordinator =
        new DefaultSlotCoordinator(
            SERVICE,
            directory,
            SlotSettings.builder().scheduling(contended).build(),
            RequestQuota.UNLIMITED,
            blocked -> {});
  }

  /** Makes the decisions, and returns the answers. */
  public static List<SlotAnswer> run() {
    return new SchedulingTrial().answers();
  }

  private List<SlotAnswer> answers() {
    SlotRequest item = request(true);
    List<SlotAnswer> answers = new ArrayList<>(coordinator.request(item, now));
    SlotRequest first = request(false);
    answers.addAll(coordinator.request(first, now));
    coordinator.reportLoad(first.key(), new ReportedLoad(1, 1, 250), now);
    for (int i = 1; i < REQUESTS; i++) {
      answers.addAll(coordinator.request(request(false), now));
      now = now.plusMillis(1);
    }
    answers.addAll(coordinator.release(first.key(), SlotOutcome.ANSWERED, now));
    now = now.plusSeconds(1);
    answers.addAll(coordinator.tick(now));
    LearnedState learned = coordinator.learned().export(now);
    coordinator.learned().restore(learned, Duration.ZERO, now);
    coordinator.demand(now);
    return answers;
  }

  private SlotRequest request(boolean batch) {
    numbers++;
    return SlotRequest.builder(new SlotKey("trial", numbers), SERVICE)
        .batch(batch)
        .dataCentre("a")
        .maxWait(Duration.ofMillis(batch ? 2_000 : 150))
        .patience(Duration.ofSeconds(4))
        .fingerprint(numbers)
        .workspace(batch ? null : new WorkspaceId("w" + numbers % 2))
        .charged(!batch)
        .size(new WorkSize(450, 300, 200))
        .build();
  }
}
