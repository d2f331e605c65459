package io.hawthornlb.gateway.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Guards against a text that mixes two attempts or that depends on the order in which records
 * arrive.
 *
 * <p>Holders follow one another. Each holder may continue to receive a stream after it was fenced,
 * and leaves late records without its epoch. The data of an event names its attempt, and the test
 * knows after which event each attempt was asked to continue.
 */
class ProgressHistoryPropertyTest {

  private static final int STEPS = 60;

  @Property(tries = 2_000)
  void aTextContinuesOnlyWithAnAttemptThatWasAskedToContinueIt(@ForAll long seed) {
    History history = new History(new Random(seed));
    for (int step = 0; step < STEPS; step++) {
      history.step();
      history.check();
    }
  }

  @Property(tries = 1_000)
  void theTextDoesNotDependOnTheOrderOfRecords(@ForAll long seed) {
    Random random = new Random(seed);
    History history = new History(random);
    for (int step = 0; step < STEPS; step++) {
      history.step();
    }
    ItemProgress newest = history.progress(history.newest());
    assertEquals(newest, history.progress(history.log));
    List<KeyedRecord> shuffled = new ArrayList<>(history.newest());
    shuffled.addAll(history.newest());
    Collections.shuffle(shuffled, random);
    assertEquals(newest, history.progress(shuffled));
  }

  /** Simulated history of one item. */
  private static final class History {

    private final Random random;
    private final List<KeyedRecord> log = new ArrayList<>();
    private final List<Long> requestedAfter = new ArrayList<>();
    private final List<Holder> holders = new ArrayList<>();
    private final List<KeyedRecord> inTransit = new ArrayList<>();

    private History(Random random) {
      this.random = random;
      holders.add(new Holder(ItemProgress.NONE, 1));
    }

    private void step() {
      Holder any = holders.get(random.nextInt(holders.size()));
      Holder last = holders.get(holders.size() - 1);
      switch (random.nextInt(9)) {
        case 0, 1, 2 -> any.stream(1 + random.nextInt(3));
        case 3 -> any.startAttempt();
        case 4, 5 -> save(any, any == last);
        case 6 -> any.item.recordIfAny("j").ifPresent(inTransit::add);
        case 7 -> arrive();
        default -> takeOver();
      }
    }

    /**
     * Appends with the holder's epoch; the append is refused once another holder has fenced the
     * partition.
     */
    private void save(Holder holder, boolean holds) {
      holder.item.recordIfAny("j").filter(any -> holds).ifPresent(log::add);
    }

    /** Appends a late record without an epoch, and may keep it to append it once more. */
    private void arrive() {
      if (!inTransit.isEmpty()) {
        KeyedRecord record = inTransit.get(random.nextInt(inTransit.size()));
        log.add(record);
        if (random.nextBoolean()) {
          inTransit.remove(record);
        }
      }
    }

    private void takeOver() {
      if (holders.size() < 6) {
        ItemProgress loaded = progress(random.nextBoolean() ? newest() : log);
        holders.add(new Holder(loaded, holders.size() + 1));
      }
    }

    private List<KeyedRecord> newest() {
      Map<String, KeyedRecord> newest = new TreeMap<>();
      log.forEach(record -> newest.put(record.key(), record));
      return List.copyOf(newest.values());
    }

    private ItemProgress progress(List<KeyedRecord> records) {
      JobTable table = new JobTable();
      JobItem item = new JobItem("i1", "/p/1", Map.of(), new byte[0]);
      JobRecords.accepted(new Job("j", "h", Instant.EPOCH, List.of(item))).forEach(table::apply);
      records.forEach(table::apply);
      return table.find("j").orElseThrow().progress("i1");
    }

    private void check() {
      check(progress(newest()));
      check(progress(log));
      holders.forEach(each -> check(each.loaded));
    }

    private void check(ItemProgress progress) {
      int attempt = -1;
      long event = 0;
      for (String line : progress.text().isEmpty() ? new String[0] : progress.text().split("\n")) {
        int next = Integer.parseInt(line);
        if (next != attempt) {
          assertEquals(
              event,
              requestedAfter.get(next),
              progress + " from attempts requested after events " + requestedAfter);
        }
        attempt = next;
        event++;
      }
      assertEquals(Math.max(0, progress.lastEventId()), event);
    }

    /** A holder of the partition with its current attempt. */
    private final class Holder {

      private final ItemProgress loaded;
      private final ItemRecorder item;
      private int attempt;

      private Holder(ItemProgress loaded, long epoch) {
        this.loaded = loaded;
        this.item = new ItemRecorder("i1", loaded, epoch);
        startAttempt();
      }

      private void startAttempt() {
        attempt = requestedAfter.size();
        requestedAfter.add(next() - 1);
      }

      private void stream(int events) {
        item.append(next(), next() + events - 1, String.valueOf(attempt));
      }

      private long next() {
        return Math.max(0, item.lastEventId()) + 1;
      }
    }
  }
}
