package io.hawthornlb.gateway.slot.support;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.slot.RequestQuota;
import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Replays waves of 2.8 s at 1.84 times the mean and 3.8 s at 0.38 times the mean, in which one of
 * 20 workspaces sends 7 times its usual. Guards against a workspace that takes the slots of the
 * others at each peak. The baseline knows no workspaces and serves requests in order of arrival.
 */
class FairTurnsReplayTest {

  private static final int ENDPOINTS = 8;
  private static final int SLOTS = 8;
  private static final int RUN_MILLIS = 105_600;
  private static final int WAVE_MILLIS = 6_600;
  private static final int TROUGH_MILLIS = 3_800;
  private static final int USE_MILLIS = 640;
  private static final int WORKSPACES = 20;
  private static final double REQUESTS_PER_SECOND = 70;
  private static final double HOT_FACTOR = 7;
  private static final int MAX_RETURN_MILLIS = 1_600;
  private static final Duration MAX_WAIT = Duration.ofMillis(150);
  private static final Duration PATIENCE = Duration.ofSeconds(3);

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void servesTheOtherWorkspacesDuringAPeakOfOne(long seed) {
    Replay fair = new Replay(seed, true);
    Replay baseline = new Replay(seed, false);
    fair.run();
    baseline.run();
    System.out.println("turns: seed " + seed + " fair " + fair + ", baseline " + baseline);
    assertTrue(fair.othersOnTime() > baseline.othersOnTime(), fair + " compared with " + baseline);
    assertTrue(fair.worst() >= baseline.worst(), fair + " compared with " + baseline);
    // A quarter as often as all is the least that the users accept for any workspace.
    assertTrue(4 * fair.served(0) >= fair.servedOfAll(), fair.toString());
  }

  /** One simulation in virtual time. */
  private static final class Replay {

    private final Random random;
    private final boolean fair;
    private final VirtualTime time = new VirtualTime();
    private final Instant start = Instant.parse("2026-01-01T00:00:00Z");
    private final DefaultSlotCoordinator coordinator;
    private final Map<SlotKey, Caller> callers = new HashMap<>();
    private final Set<Long> refusedOnce = new HashSet<>();
    private final int[] asked = new int[WORKSPACES];
    private final int[] served = new int[WORKSPACES];
    private final int[] onTime = new int[WORKSPACES];
    private long numbers;

    private record Caller(long id, int workspace, int arrived) {}

    private Replay(long seed, boolean fair) {
      this.random = new Random(seed);
      this.fair = fair;
      EndpointDirectory directory = new EndpointDirectory();
      for (int i = 0; i < ENDPOINTS; i++) {
        InetSocketAddress nowhere = new InetSocketAddress("127.0.0.1", 1);
        directory.put(new EndpointRecord("e" + i, "engine", nowhere, "a", SLOTS, false));
      }
      coordinator =
          new DefaultSlotCoordinator(
              "engine", directory, SlotSettings.DEFAULT, RequestQuota.UNLIMITED, barred -> {});
    }

    private void run() {
      double at = 0;
      while (at < RUN_MILLIS) {
        double factor = at % WAVE_MILLIS < TROUGH_MILLIS ? 0.38 : 1.84;
        double rate = REQUESTS_PER_SECOND * factor * (WORKSPACES - 1 + HOT_FACTOR) / WORKSPACES;
        at += -Math.log(1 - random.nextDouble()) * 1_000 / rate;
        int workspace = workspace();
        Caller caller = new Caller(++numbers, workspace, (int) at);
        time.at((int) at, () -> arrive(caller));
      }
      time.every(20, RUN_MILLIS + 5_000, () -> take(coordinator.tick(now())));
      time.runUntil(RUN_MILLIS + 5_000, millis -> {});
    }

    /** Returns workspace 0, which is hot, or one of the others. */
    private int workspace() {
      double draw = random.nextDouble() * (WORKSPACES - 1 + HOT_FACTOR);
      return draw < HOT_FACTOR ? 0 : (int) (1 + (draw - HOT_FACTOR));
    }

    private void arrive(Caller caller) {
      asked[caller.workspace()]++;
      ask(caller);
    }

    private void ask(Caller caller) {
      SlotKey key = new SlotKey("g", ++numbers);
      callers.put(key, caller);
      WorkspaceId workspace = fair ? new WorkspaceId("w" + caller.workspace()) : null;
      SlotRequest request =
          SlotRequest.builder(key, "engine")
              .dataCentre("a")
              .maxWait(MAX_WAIT)
              .patience(PATIENCE)
              .fingerprint(caller.id())
              .workspace(workspace)
              .charged(true)
              .build();
      take(coordinator.request(request, now()));
    }

    private void take(List<SlotAnswer> answers) {
      for (SlotAnswer answer : answers) {
        Caller caller = callers.get(answer.key());
        if (answer instanceof SlotAnswer.Granted) {
          served[caller.workspace()]++;
          onTime[caller.workspace()] += time.now() - caller.arrived() <= 240 ? 1 : 0;
          int use = USE_MILLIS / 2 + random.nextInt(USE_MILLIS);
          time.at(time.now() + use, () -> release(answer.key()));
        } else if (answer instanceof SlotAnswer.Refused refused && refusedOnce.add(caller.id())) {
          long after = Math.min(MAX_RETURN_MILLIS, refused.retryAfter().toMillis()) + 20;
          time.at(time.now() + (int) after, () -> ask(caller));
        }
      }
    }

    private void release(SlotKey key) {
      take(coordinator.release(key, SlotOutcome.ANSWERED, now()));
    }

    private Instant now() {
      return start.plusMillis(time.now());
    }

    private double served(int workspace) {
      return (double) served[workspace] / asked[workspace];
    }

    private double servedOfAll() {
      return (double) sum(served, 0) / sum(asked, 0);
    }

    private double othersOnTime() {
      return (double) sum(onTime, 1) / sum(asked, 1);
    }

    private double worst() {
      double worst = 1;
      for (int i = 1; i < WORKSPACES; i++) {
        worst = Math.min(worst, (double) onTime[i] / asked[i]);
      }
      return worst;
    }

    private static int sum(int[] counts, int from) {
      int sum = 0;
      for (int i = from; i < counts.length; i++) {
        sum += counts[i];
      }
      return sum;
    }

    @Override
    public String toString() {
      return "others on time %.3f, worst of them %.3f, hot %.3f, all %.3f, served in the end %.3f"
          .formatted(
              othersOnTime(),
              worst(),
              (double) onTime[0] / asked[0],
              (double) sum(onTime, 0) / sum(asked, 0),
              servedOfAll());
    }
  }
}
