package io.hawthornlb.core.runonce;

import io.hawthornlb.core.harness.Delays;
import io.hawthornlb.core.harness.NodeParts.Variant;
import io.hawthornlb.core.model.RequestId;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Log-only intents against witnesses, under modelled delays; prints lines of a table. */
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
    outage("no intents", Variant.WITHOUT_INTENTS, true, false);
    outage("log only", Variant.STANDARD, false, false);
    outage("witnesses", Variant.STANDARD, true, false);
    outage("witnesses, one of them lost", Variant.STANDARD, true, true);
  }

  private static void measure(String site, Delays delays, int rate) {
    print(site, rate, "no intents", new Trial(delays, Variant.WITHOUT_INTENTS, true), rate);
    print(site, rate, "log only", new Trial(delays, Variant.STANDARD, false), rate);
    print(site, rate, "witnesses", new Trial(delays, Variant.STANDARD, true), rate);
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

  private static void outage(String name, Variant variant, boolean witnesses, boolean lost) {
    Trial trial = new Trial(Delays.AL_HARTHY, variant, witnesses);
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

  /** One holder, three entries, arrivals fixed beforehand. */
  private static final class Trial {

    private final RunOnceScenario scenario;
    private final Histogram added = new Histogram(3);
    private final Map<RequestId, Instant> sentAt = new LinkedHashMap<>();
    private int served;
    private int notRun;

    private Trial(Delays delays, Variant variant, boolean witnesses) {
      scenario = new RunOnceScenario(99, RunOnceSettings.builder().build(), variant, delays);
      scenario.cluster().endpoint().duration(CALL);
      if (witnesses) {
        scenario.claim(0, 1, 2);
      } else {
        scenario.claim(0, new Integer[0]);
      }
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
