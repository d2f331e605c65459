package io.hawthornlb.core.runonce;

import io.hawthornlb.core.harness.Delays;
import io.hawthornlb.core.harness.NodeParts.Variant;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.RecordId;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.runonce.support.RunOnceFold;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Compares log-only intents with replicated intents under modelled delays, and prints the rows of a
 * table.
 */
@Tag("bench")
class RunOnceBench {

  private static final Duration CALL = Duration.ofMillis(10);
  private static final int REQUESTS = 3_000;

  @Test
  void addedLatency() {
    for (int rate : new int[] {10, 100}) {
      measure("Vatuwaqa", Delays.VATUWAQA, rate);
      measure("Al Harthy", Delays.AL_HARTHY, rate);
    }
  }

  @Test
  void servedInAnOutage() {
    outage("no intents", Variant.WITHOUT_INTENTS, false);
    outage("log only", Variant.STANDARD, false);
    outage("two replicas", Variant.STANDARD, false, 1, 2);
    outage("two replicas, one of them lost", Variant.STANDARD, true, 1, 2);
    outage("three replicas, one of them lost", Variant.STANDARD, true, 1, 2, 3);
  }

  @Test
  void heapOfKeys() {
    for (int keys : new int[] {2_000, 20_000, 200_000}) {
      long before = usedBytes();
      RunOnceFold fold = new RunOnceFold();
      for (int i = 0; i < keys; i++) {
        RunOnceEntry entry =
            new RunOnceEntry(
                RunOnceScenario.key("key-" + i),
                "fingerprint-" + i,
                new AttemptId(new Epoch(1), i),
                EntryState.COMPLETED,
                Optional.of(new ServiceResult(200, List.of(), "r".repeat(400))),
                "",
                Instant.EPOCH.plusSeconds(3_600));
        RecordId id = new RecordId(new InstanceId("i0"), i);
        EntriesRecorded body = new EntriesRecorded(new Epoch(1), List.of(entry));
        fold.apply(new LogRecord(i, Instant.EPOCH, id, body));
      }
      long used = usedBytes() - before;
      System.out.printf("%d keys: %.0f bytes a key%n", fold.size(), used / (double) keys);
    }
  }

  private static long usedBytes() {
    for (int i = 0; i < 4; i++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private static void measure(String site, Delays delays, int rate) {
    print(site, rate, "no intents", new Trial(delays, Variant.WITHOUT_INTENTS), rate);
    print(site, rate, "log only", new Trial(delays, Variant.STANDARD), rate);
    print(site, rate, "two replicas", new Trial(delays, Variant.STANDARD, 1, 2), rate);
    print(site, rate, "three replicas", new Trial(delays, Variant.STANDARD, 1, 2, 3), rate);
  }

  private static void print(String site, int rate, String name, Trial trial, int perSecond) {
    int appends = trial.scenario.cluster().log().appends();
    trial.run(REQUESTS, perSecond);
    double seconds = REQUESTS / (double) perSecond;
    System.out.printf(
        "%s, %d a second, %s: added p50 %.2f ms, p99 %.2f ms, served %.2f%%, appends a second"
            + " %.1f%n",
        site,
        rate,
        name,
        trial.added.getValueAtPercentile(50) / 1e3,
        trial.added.getValueAtPercentile(99) / 1e3,
        100.0 * trial.served / REQUESTS,
        (trial.scenario.cluster().log().appends() - appends) / seconds);
  }

  private static void outage(String name, Variant variant, boolean lost, Integer... replicas) {
    Trial trial = new Trial(Delays.AL_HARTHY, variant, replicas);
    trial.scenario.cluster().log().down(true);
    if (lost) {
      trial.scenario.node(1).kill();
    }
    trial.run(20 * 60, 20);
    double share = 100.0 * trial.served / (20 * 60);
    double notRun = 100.0 * trial.notRun / (20 * 60);
    System.out.printf(
        "outage of 60 s, 20 a second, %s: served %.2f%%, refused as not run %.2f%%%n",
        name, share, notRun);
  }

  /** One holder and three entry instances; the arrival times are fixed in advance. */
  private static final class Trial {

    private final RunOnceScenario scenario;
    private final Histogram added = new Histogram(3);
    private final Map<RequestId, Instant> sentAt = new LinkedHashMap<>();
    private int served;
    private int notRun;

    private Trial(Delays delays, Variant variant, Integer... replicas) {
      scenario = new RunOnceScenario(99, RunOnceSettings.builder().build(), variant, delays);
      scenario.cluster().endpoint().duration(CALL);
      scenario.claim(0, replicas);
      scenario.cluster().run(Duration.ofSeconds(1));
    }

    private void run(int requests, int perSecond) {
      Random random = new Random(4);
      double at = 0;
      for (int i = 0; i < requests; i++) {
        at += -Math.log(1 - random.nextDouble()) / perSecond;
        int entry = 2 + i % 3;
        RunOnceKey key = RunOnceScenario.key("k" + i);
        scenario.cluster().schedule(Duration.ofNanos((long) (at * 1e9)), () -> send(entry, key));
      }
      scenario.onAnswer(this::answered);
      scenario.cluster().run(Duration.ofNanos((long) (at * 1e9)).plusSeconds(10));
    }

    private void send(int entry, RunOnceKey key) {
      Instant now = scenario.cluster().now();
      sentAt.put(scenario.send(entry, key, true), now);
    }

    private void answered(AnswerCaller answer) {
      Instant sent = sentAt.get(answer.id());
      if (answer.answer().result().isEmpty()) {
        notRun += RunOnceScenario.status(answer.answer()).wireName().equals("not-run") ? 1 : 0;
        return;
      }
      served++;
      Duration latency = Duration.between(sent, scenario.cluster().now()).minus(CALL);
      added.recordValue(Math.max(0, latency.toNanos() / 1_000));
    }
  }
}
