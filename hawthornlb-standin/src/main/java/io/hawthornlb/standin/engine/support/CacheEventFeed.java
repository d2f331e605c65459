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

/** Publishes cache changes late, and leaves some out. Safe for use by many threads. */
final class CacheEventFeed implements PrefixCache.Listener {

  private static final int PERCENT = 100;
  private static final int PAGE = 1_000;

  private final EngineReports settings;
  private final InstantSource clock;
  private final Random lost;
  private final Deque<Dated> events = new ArrayDeque<>();
  private long nextSeq;

  /** A change of the cache. */
  record Event(long seq, String prefix, String kind) {}

  /** Changes in order, and where to read on. */
  record Page(List<Event> events, long nextSeq) {}

  private record Dated(Instant at, Event event) {}

  CacheEventFeed(EngineReports settings, InstantSource clock) {
    this.settings = settings;
    this.clock = clock;
    this.lost = new Random(settings.seed());
  }

  @Override
  public synchronized void changed(String prefixHash, boolean stored) {
    long seq = nextSeq++;
    if (lost.nextInt(PERCENT) < settings.cacheEventLossPercent()) {
      return;
    }
    events.addLast(
        new Dated(clock.instant(), new Event(seq, prefixHash, stored ? "stored" : "evicted")));
    if (events.size() > settings.cacheEventsKept()) {
      events.removeFirst();
    }
  }

  /** Returns the events that readers can see, from a number on. */
  synchronized Page from(long seq) {
    Instant horizon = clock.instant().minus(Duration.ofMillis(settings.cacheEventLagMillis()));
    List<Event> page = new ArrayList<>();
    for (Dated dated : events) {
      if (dated.at().isAfter(horizon) || page.size() == PAGE) {
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
