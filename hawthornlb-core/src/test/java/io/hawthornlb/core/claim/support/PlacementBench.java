package io.hawthornlb.core.claim.support;

import io.hawthornlb.core.claim.PlacementPolicy;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Compares a placement that follows each change of the fleet immediately with one that follows a
 * baseline with a delay.
 */
@Tag("bench")
class PlacementBench {

  private static final int PARTITIONS = 256;
  private static final int DATA_CENTRES = 4;
  private static final int SEEDS = 3;
  private static final int USED_IDS = 100_000;
  private static final Duration AWAY = Duration.ofSeconds(20);

  private static final Map<String, Supplier<PlacementPolicy>> POLICIES = policies();

  private static Map<String, Supplier<PlacementPolicy>> policies() {
    Map<String, Supplier<PlacementPolicy>> policies = new LinkedHashMap<>();
    policies.put("at once", ImmediatePlacementPolicy::new);
    policies.put("30/120 s, awaited", () -> baseline(120, BaselinePolicy.Absent.AWAITED));
    policies.put("30/120 s, replaced", () -> baseline(120, BaselinePolicy.Absent.REPLACED));
    policies.put("30/600 s, replaced", () -> baseline(600, BaselinePolicy.Absent.REPLACED));
    return policies;
  }

  private static BaselinePolicy baseline(int hardSeconds, BaselinePolicy.Absent absent) {
    return new BaselinePolicy(Duration.ofSeconds(30), Duration.ofSeconds(hardSeconds), absent);
  }

  @Test
  void restartsAndLossesAt13() {
    scenario("killed, new name back after 20 s", 13, SEEDS, PlacementBench::killAndReplace);
    scenario("killed, same name back after 20 s", 13, SEEDS, PlacementBench::killAndReturn);
    scenario("stopped, new name back after 20 s", 13, SEEDS, PlacementBench::stopAndReplace);
    scenario("rolling restart of all", 13, SEEDS, PlacementBench::rollingRestart);
    scenario("data centre lost, back after 120 s", 13, SEEDS, PlacementBench::loseDataCentre);
  }

  @Test
  void slopeOfARestart() {
    for (int instances : new int[] {13, 100, 390}) {
      String name = "killed, new name, " + instances;
      scenario(name, instances, 1, "at once", PlacementBench::killAndReplace);
    }
  }

  private static void scenario(
      String name, int instances, int seeds, Consumer<PlacementMeterRun> scenario) {
    POLICIES.keySet().forEach(policy -> scenario(name, instances, seeds, policy, scenario));
  }

  private static void scenario(
      String name, int instances, int seeds, String policy, Consumer<PlacementMeterRun> scenario) {
    double[] sums = new double[6];
    for (int seed = 1; seed <= seeds; seed++) {
      double[] values = run(instances, seed, POLICIES.get(policy), scenario);
      for (int i = 0; i < sums.length; i++) {
        sums[i] += values[i] / seeds;
      }
    }
    System.out.printf(
        Locale.ROOT,
        "| %s | %s | %.0f | %.0f | %.0f | %.1f | %.0f | %.1f |%n",
        name,
        policy,
        sums[0],
        sums[1],
        sums[2],
        sums[3],
        sums[4],
        sums[5]);
  }

  private static double[] run(
      int instances,
      int seed,
      Supplier<PlacementPolicy> policy,
      Consumer<PlacementMeterRun> scenario) {
    ClaimFleet fleet = new ClaimFleet(PARTITIONS, ClaimSettings.DEFAULT, policy);
    fleet.namePrefix = "s" + seed + "-";
    fleet.startMany(instances, DATA_CENTRES);
    fleet.run(Duration.ofSeconds(instances > 50 ? 60 : 40));
    PlacementMeter meter = new PlacementMeter(fleet);
    scenario.accept(new PlacementMeterRun(fleet, meter, seed));
    return meter.values();
  }

  private record PlacementMeterRun(ClaimFleet fleet, PlacementMeter meter, int seed) {

    ClaimFleet.Node victim() {
      return fleet.nodes().get(seed % fleet.nodes().size());
    }
  }

  private static void killAndReplace(PlacementMeterRun run) {
    ClaimFleet.Node victim = run.victim();
    run.fleet().kill(victim);
    run.meter().run(AWAY);
    run.fleet().start(victim.dataCentre.value());
    run.meter().run(Duration.ofSeconds(160));
  }

  private static void killAndReturn(PlacementMeterRun run) {
    ClaimFleet.Node victim = run.victim();
    run.fleet().kill(victim);
    run.meter().run(AWAY);
    run.fleet().start(victim.id, victim.dataCentre.value(), USED_IDS);
    run.meter().run(Duration.ofSeconds(160));
  }

  private static void stopAndReplace(PlacementMeterRun run) {
    ClaimFleet.Node victim = run.victim();
    stop(run, victim);
    run.meter().run(AWAY);
    run.fleet().start(victim.dataCentre.value());
    run.meter().run(Duration.ofSeconds(160));
  }

  private static void rollingRestart(PlacementMeterRun run) {
    for (ClaimFleet.Node node : run.fleet().nodes()) {
      stop(run, node);
      run.meter().run(Duration.ofSeconds(10));
      run.fleet().start(node.dataCentre.value());
      run.meter().run(Duration.ofSeconds(15));
    }
    run.meter().run(Duration.ofSeconds(160));
  }

  private static void loseDataCentre(PlacementMeterRun run) {
    List<ClaimFleet.Node> lost =
        run.fleet().nodes().stream()
            .filter(node -> node.dataCentre.value().equals("dc-0"))
            .toList();
    lost.forEach(run.fleet()::kill);
    run.meter().run(Duration.ofSeconds(120));
    lost.forEach(node -> run.fleet().start(node.dataCentre.value()));
    run.meter().run(Duration.ofSeconds(160));
  }

  private static void stop(PlacementMeterRun run, ClaimFleet.Node node) {
    run.fleet().stop(node);
    for (int tick = 0; tick < 80 && !node.manager.stopped(); tick++) {
      run.meter().tick();
    }
    run.fleet().kill(node);
  }
}
