package io.hawthornlb.gateway.job;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * What holders have recorded of an item, and the text that it makes.
 *
 * <p>Failure: a former holder's record comes when the next holder has gone on with another run. It
 * shows as a text whose parts are of two runs. Guard: a record names its writer and the record that
 * it extends, none replaces another writer's, and only those are joined that name each other; of
 * all texts the furthest one counts, in whatever order the records came.
 */
final class ProgressChain {

  private final TreeMap<ProgressLink, JobRecords.Gained> recordsByStart = new TreeMap<>();
  private @Nullable ItemProgress joined;

  /** Takes a record. */
  void put(JobRecords.Gained gained) {
    recordsByStart.put(gained.start(), gained);
    joined = null;
  }

  /** Forgets the record that begins at a place. */
  void drop(ProgressLink start) {
    recordsByStart.remove(start);
    joined = null;
  }

  /** Returns the furthest text; of two the one whose last record has the higher epoch. */
  ItemProgress progress() {
    ItemProgress known = joined;
    if (known == null) {
      known = join(reached());
      joined = known;
    }
    return known;
  }

  /** Returns the records that a chain from the start reaches, by their ends. */
  private TreeMap<ProgressLink, JobRecords.Gained> reached() {
    TreeMap<ProgressLink, JobRecords.Gained> reached = new TreeMap<>();
    // In the order of their starts each comes behind all that it may extend.
    for (JobRecords.Gained each : recordsByStart.values()) {
      if (each.after().equals(ProgressLink.START) || reached.containsKey(each.after())) {
        reached.putIfAbsent(each.upTo(), each);
      }
    }
    return reached;
  }

  private static ItemProgress join(TreeMap<ProgressLink, JobRecords.Gained> reached) {
    if (reached.isEmpty()) {
      return ItemProgress.NONE;
    }
    Deque<String> texts = new ArrayDeque<>();
    ProgressLink end = reached.lastKey();
    ProgressLink at = end;
    while (!at.equals(ProgressLink.START)) {
      JobRecords.Gained last = reached.get(at);
      texts.addFirst(last.text());
      at = last.after();
    }
    return new ItemProgress(end, texts.stream().collect(Collectors.joining()));
  }
}
