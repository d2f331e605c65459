package io.hawthornlb.core.policy;

import io.hawthornlb.core.routing.RouterTerm;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Prints the tables of docs/measurements/policy.md.
 *
 * <p>Arguments: seed, measured seconds, and {@code scenarios}, {@code batch}, {@code weights} or
 * {@code terms}.
 */
public final class PolicyMeasurement {

  private PolicyMeasurement() {}

  public static void main(String[] arguments) {
    long seed = arguments.length > 0 ? Long.parseLong(arguments[0]) : 1;
    int seconds = arguments.length > 1 ? Integer.parseInt(arguments[1]) : 120;
    String what = arguments.length > 2 ? arguments[2] : "scenarios";
    for (Fleet fleet : List.of(Fleet.VATUWAQA, Fleet.AL_HARTHY)) {
      List<PolicySet> policies = policies(what);
      selectScenarios(fleet, seconds, what)
          .forEach(scenario -> table(fleet, scenario, policies, seed));
    }
  }

  private static List<Scenario> selectScenarios(Fleet fleet, int seconds, String what) {
    return switch (what) {
      case "terms" -> loaded(seconds);
      case "added" -> List.of(Scenario.engineAdded(seconds));
      case "overload" -> List.of(Scenario.overload(seconds));
      case "weights" -> List.of(Scenario.steady(0.4, Scenario.DEFAULT_LAG, seconds));
      case "batch" ->
          List.of(Scenario.steady(0.4, Scenario.DEFAULT_LAG, seconds), Scenario.burst(seconds));
      default -> scenarios(fleet, seconds);
    };
  }

  static List<Scenario> scenarios(Fleet fleet, int seconds) {
    return List.of(
        Scenario.steady(0.4, 0, seconds),
        Scenario.steady(0.4, 1_000_000, seconds),
        Scenario.steady(0.4, 5_000_000, seconds),
        Scenario.burst(seconds),
        Scenario.bulkBursts(fleet.engines() * 8, seconds),
        Scenario.dueJob(fleet.engines() * seconds, seconds),
        Scenario.engineLost(seconds),
        Scenario.centreCutOff(seconds),
        Scenario.overload(Math.min(seconds, 120)));
  }

  static List<Scenario> loaded(int seconds) {
    return List.of(
        Scenario.steady(0.7, 1_000_000, seconds),
        Scenario.engineLost(seconds),
        Scenario.engineAdded(seconds),
        Scenario.centreCutOff(seconds));
  }

  private static List<PolicySet> policies(String what) {
    return switch (what) {
      case "terms", "added" -> withoutEach();
      case "weights" -> weights();
      default -> compared(what);
    };
  }

  private static List<PolicySet> weights() {
    List<PolicySet> policies = new ArrayList<>();
    policies.add(PolicySet.standard(false));
    for (double weight : new double[] {0, 0.1, 0.2, 0.3, 0.4, 0.5, 1}) {
      policies.add(PolicySet.standard(true).withWeight(weight));
    }
    return policies;
  }

  private static List<PolicySet> compared(String what) {
    List<PolicySet> policies = new ArrayList<>();
    policies.add(PolicySet.standard(false));
    policies.add(PolicySet.standard(true));
    if (!what.equals("batch")) {
      policies.add(PolicySet.baseline(false));
      policies.add(PolicySet.baseline(true));
    }
    return policies;
  }

  private static List<PolicySet> withoutEach() {
    List<PolicySet> policies = new ArrayList<>();
    policies.add(PolicySet.standard(true));
    for (RouterTerm term : RouterTerm.values()) {
      policies.add(PolicySet.without(term));
    }
    return policies;
  }

  private static void table(Fleet fleet, Scenario scenario, List<PolicySet> policies, long seed) {
    System.out.printf("%n### %s: %s%n%n", fleet.name(), scenario.name());
    System.out.println(
        "| policy | batch/s | of bound | p50 | p95 | p99 | p99.9 | first p50 | first p99 |"
            + " bulk p99 | plain p99 | behind batch | longest | refused | failed |"
            + " preempted | late |");
    System.out.println("|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|");
    policies.parallelStream()
        .map(policy -> row(policy, FleetRun.run(fleet, scenario, policy, seed)))
        .forEachOrdered(System.out::println);
  }

  private static String row(PolicySet policy, RunResult r) {
    return String.format(
        Locale.ROOT,
        "| %s | %.2f | %.1f%% | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.1f | %d | %.0f |"
            + " %d | %d | %d | %d |",
        policy.name(),
        r.batchPerSecond(),
        100 * r.fractionOfBound(),
        r.answerMillis(0.5),
        r.answerMillis(0.95),
        r.answerMillis(0.99),
        r.answerMillis(0.999),
        r.firstMillis(0.5),
        r.firstMillis(0.99),
        r.bulkMillis(0.99),
        r.plainMillis(0.99),
        r.behindBatch,
        r.longestWaitMicros / 1e3,
        r.onlineRefused,
        r.onlineFailed,
        r.preempted,
        r.dueLate);
  }
}
