package io.hawthornlb.standin.engine.support;

import io.hawthornlb.standin.engine.EngineReports;
import io.hawthornlb.standin.engine.PrefixCache;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;

/**
 * Publishes the changes of a prefix cache with a delay and drops a share of them, as set in {@link
 * EngineReports}. A dropped event leaves a gap in the sequence numbers. Thread-safe.
 */
final class CacheEventFeed implements PrefixCache.Listener {

  private static final int PERCENT = 100;
  private static final int MAX_PAGE_SIZE = 1_000;

  private final EngineReports settings;
  private final InstantSource clock;
  private final Random lossRandom;
  private final Deque<Dated> events = new ArrayDeque<>();
  private long nextSeq;

  /** A change of the cache; {@code kind} is {@code stored} or {@code evicted}. */
  record Event(long seq, String prefix, String kind) {}

  /** Events in order, and the sequence number to continue from. */
  record Page(List<Event> events, long nextSeq) {}

  private record Dated(Instant at, Event event) {}

  CacheEventFeed(EngineReports settings, InstantSource clock) {
    this.settings = settings;
    this.clock = clock;
    this.lossRandom = new Random(settings.seed());
  }

  @Override
  public synchronized void changed(String prefixHash, boolean stored) {
    long seq = nextSeq++;
    if (lossRandom.nextInt(PERCENT) < settings.cacheEventLossPercent()) {
      return;
    }
    events.addLast(
        new Dated(clock.instant(), new Event(seq, prefixHash, stored ? "stored" : "evicted")));
    if (events.size() > settings.cacheEventsKept()) {
      events.removeFirst();
    }
  }

  /** Returns the readable events whose sequence number is at least {@code seq}. */
  synchronized Page from(long seq) {
    Instant newestReadable =
        clock.instant().minus(Duration.ofMillis(settings.cacheEventLagMillis()));
    List<Event> page = new ArrayList<>();
    for (Dated dated : events) {
      if (dated.at().isAfter(newestReadable) || page.size() == MAX_PAGE_SIZE) {
        break;
      }
      if (dated.event().seq() >= seq) {
        page.add(dated.event());
      }
    }
    long next = page.isEmpty() ? seq : page.get(page.size() - 1).seq() + 1;
    return new Page(page, next);
  }
}
