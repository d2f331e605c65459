package io.hawthornlb.standin.platform.support;

import io.hawthornlb.standin.support.Announcement;
import io.hawthornlb.standin.support.LaggingValue;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The list of announced processes, which readers see late. */
public final class InstanceDirectory {

  private final InstantSource clock;
  private final Duration ttl;
  private final Map<String, Announcement> announced = new TreeMap<>();
  private final Map<String, Instant> renewed = new HashMap<>();
  private final LaggingValue<List<Announcement>> visible;

  /**
   * Starts empty.
   *
   * @param lag how old the list is that readers see
   * @param ttl how long an announcement lasts that is not repeated; zero is for good
   */
  public InstanceDirectory(Duration lag, Duration ttl, InstantSource clock) {
    this.clock = clock;
    this.ttl = ttl;
    this.visible = new LaggingValue<>(List.of(), lag, clock);
  }

  /** Adds or replaces an announcement. */
  public synchronized void put(Announcement announcement) {
    renewed.put(announcement.id(), clock.instant());
    Announcement before = announced.put(announcement.id(), announcement);
    if (!announcement.equals(before)) {
      publish();
    }
  }

  /** Withdraws an announcement; does nothing when there is none. */
  public synchronized void remove(String id) {
    renewed.remove(id);
    if (announced.remove(id) != null) {
      publish();
    }
  }

  /** Returns the list as of a moment ago. */
  public LaggingValue.Dated<List<Announcement>> visible() {
    return visible.visible();
  }

  /**
   * Drops announcements that were not repeated in time.
   *
   * @param reachable whether processes could announce themselves lately
   */
  public synchronized void expire(boolean reachable) {
    if (ttl.isZero()) {
      return;
    }
    Instant now = clock.instant();
    if (!reachable) {
      // An outage of the platform says nothing about the processes, which must not all vanish.
      renewed.replaceAll((id, before) -> now);
      return;
    }
    List<String> gone =
        renewed.entrySet().stream()
            .filter(entry -> entry.getValue().plus(ttl).isBefore(now))
            .map(Map.Entry::getKey)
            .toList();
    gone.forEach(this::remove);
  }

  private void publish() {
    visible.publish(List.copyOf(announced.values()));
  }
}
