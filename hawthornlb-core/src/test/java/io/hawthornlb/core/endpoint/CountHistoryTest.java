package io.hawthornlb.core.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Instant;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class CountHistoryTest {

  @Property(tries = 200, seed = "20261202")
  void agreesWithAMapOfAllChanges(@ForAll long seed) {
    Random random = new Random(seed);
    CountHistory history = new CountHistory();
    TreeMap<Long, Integer> changes = new TreeMap<>();
    long time = 0;
    int count = 0;
    for (int i = 0; i < CountHistory.CAPACITY; i++) {
      time += CountHistory.BUCKET_MILLIS + random.nextInt(100);
      int change = random.nextInt(5) - 2;
      count += change;
      history.add(change, Instant.ofEpochMilli(time));
      changes.put(time, count);
    }
    for (int i = 0; i < 50; i++) {
      long instant = (long) (random.nextDouble() * time);
      var floor = changes.floorEntry(instant);
      assertEquals(floor == null ? 0 : floor.getValue(), history.at(Instant.ofEpochMilli(instant)));
    }
    assertEquals(count, history.current());
  }
}
