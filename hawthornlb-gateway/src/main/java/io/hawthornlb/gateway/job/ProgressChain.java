package io.hawthornlb.gateway.job;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Joins the progress records that successive holders have written about one item.
 *
 * <p>A record of a former holder may arrive after the next holder has continued with another
 * attempt. The joined text would then mix the texts of two attempts. Therefore each record names
 * its writer, the record that it extends and the version that wrote its text, and no record
 * replaces another writer's. Only records of one version that extend one another are joined. Of all
 * texts that result, the furthest one counts, in whatever order the records arrived.
 */
final class ProgressChain {

  private final TreeMap<ProgressLink, JobRecords.Progress> recordsByStart = new TreeMap<>();
  private @Nullable ItemProgress joined;

  /** Adds a progress record. */
  void put(JobRecords.Progress added) {
    recordsByStart.put(added.start(), added);
    joined = null;
  }

  /** Removes the record that begins at a point. */
  void drop(ProgressLink start) {
    recordsByStart.remove(start);
    joined = null;
  }

  /**
   * Returns the text that reaches furthest; of two that reach equally far, the one whose last
   * record has the higher epoch.
   */
  ItemProgress progress() {
    ItemProgress known = joined;
    if (known == null) {
      known = join(reached());
      joined = known;
    }
    return known;
  }

  /** Returns the records that a chain from the start reaches, keyed by their ends. */
  private TreeMap<ProgressLink, JobRecords.Progress> reached() {
    TreeMap<ProgressLink, JobRecords.Progress> reached = new TreeMap<>();
    // In the order of their start points, each record follows all records that it may extend.
    for (JobRecords.Progress each : recordsByStart.values()) {
      JobRecords.Progress extended = reached.get(each.after());
      boolean joins = extended != null && extended.origin().equals(each.origin());
      if (each.after().equals(ProgressLink.START) || joins) {
        reached.putIfAbsent(each.upTo(), each);
      }
    }
    return reached;
  }

  private static ItemProgress join(TreeMap<ProgressLink, JobRecords.Progress> reached) {
    if (reached.isEmpty()) {
      return ItemProgress.NONE;
    }
    Deque<String> texts = new ArrayDeque<>();
    ProgressLink end = reached.lastKey();
    ProgressLink at = end;
    while (!at.equals(ProgressLink.START)) {
      JobRecords.Progress last = reached.get(at);
      texts.addFirst(last.text());
      at = last.after();
    }
    String text = texts.stream().collect(Collectors.joining());
    return new ItemProgress(end, text, reached.get(end).origin());
  }
}
