package io.hawthornlb.core.workspace.support;

import io.hawthornlb.core.workspace.support.WorkspaceLimitReplay.Event;
import io.hawthornlb.core.workspace.support.WorkspaceLimitReplay.Result;
import java.time.Instant;
import java.util.function.BiFunction;

/** Prints the figures of each way to limit workspaces, for each event. */
final class WorkspaceLimitComparison {

  private static final int SEEDS = 2;

  private WorkspaceLimitComparison() {}

  public static void main(String[] arguments) {
    for (Event event : Event.values()) {
      print("ledger", LedgerFleet::new, event);
      print("shares", ShareFleet::new, event);
    }
  }

  private static void print(
      String way, BiFunction<int[], Instant, LimitedFleet> fleets, Event event) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      long began = System.nanoTime();
      Result result = new WorkspaceLimitReplay(fleets, event, seed).run();
      long millis = (System.nanoTime() - began) / 1_000_000;
      System.out.printf("%s %s seed %d: %s, %d ms%n", way, event, seed, result, millis);
    }
  }
}
