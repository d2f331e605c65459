package io.hawthornlb.standin.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.standin.platform.support.InMemoryRecordLog;
import io.hawthornlb.standin.platform.support.InstanceDirectory;
import io.hawthornlb.standin.support.Announcement;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class InMemoryRecordLogTest {

  private final AtomicReference<Instant> now = new AtomicReference<>(Instant.EPOCH);

  @Property(tries = 100, seed = "4711")
  void matchesAPlainList(@ForAll long seed) {
    now.set(Instant.EPOCH);
    Random random = new Random(seed);
    RecordLog log = new InMemoryRecordLog(Duration.ofSeconds(10), 2_000, now::get);
    List<Instant> all = new ArrayList<>();
    for (int round = 0; round < 60; round++) {
      now.updateAndGet(time -> time.plusMillis(random.nextInt(600)));
      int count = 1 + random.nextInt(100);
      assertEquals(all.size(), log.append("s", records(all.size(), count)));
      all.addAll(Collections.nCopies(count, now.get()));
      assertReads(log, all, random.nextInt(all.size() + 1), 1 + random.nextInt(50));
    }
  }

  private void assertReads(RecordLog log, List<Instant> all, int from, int max) {
    int first = Math.max(0, all.size() - 2_000);
    while (first < all.size() && all.get(first).isBefore(now.get().minusSeconds(10))) {
      first++;
    }
    RecordLog.Page page = log.read("s", from, max);
    assertEquals(first, page.firstOffset());
    assertEquals(from < first, page.expired());
    if (!page.expired()) {
      int end = Math.min(all.size(), from + max);
      assertEquals(end - from, page.records().size());
      assertEquals(end, page.nextOffset());
      for (RecordLog.Stored record : page.records()) {
        assertEquals(record.offset(), Long.parseLong(new String(record.data())));
      }
    }
  }

  private static List<byte[]> records(int first, int count) {
    List<byte[]> records = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      records.add(Integer.toString(first + index).getBytes());
    }
    return records;
  }

  /**
   * Guards against the loss of all announcements after an outage of the platform. No endpoint can
   * repeat its announcement during the outage. If the outage counts towards the expiry, all
   * announcements expire at once at its end although every process is alive.
   */
  @Test
  void announcementsDoNotExpireDuringAnOutage() {
    InstanceDirectory directory =
        new InstanceDirectory(Duration.ZERO, Duration.ofSeconds(10), now::get);
    directory.put(new Announcement("e", "endpoint", "s", "ruwi", "127.0.0.1:1", "live"));
    now.set(Instant.EPOCH.plusSeconds(30));
    directory.expire(false);
    directory.expire(true);
    assertEquals(1, directory.visible().value().size());

    now.set(Instant.EPOCH.plusSeconds(41));
    directory.expire(true);
    assertTrue(directory.visible().value().isEmpty());
  }
}
