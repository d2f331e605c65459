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

/** The list of announced processes. Readers see the list with a lag. */
public final class InstanceDirectory {

  private final InstantSource clock;
  private final Duration ttl;
  private final Map<String, Announcement> announced = new TreeMap<>();
  private final Map<String, Instant> renewed = new HashMap<>();
  private final LaggingValue<List<Announcement>> visible;

  /**
   * Creates an empty directory.
   *
   * @param lag the age of the list that readers see
   * @param ttl the time after which an announcement expires unless it is repeated; zero means that
   *     announcements never expire
   */
  public InstanceDirectory(Duration lag, Duration ttl, InstantSource clock) {
    this.clock = clock;
    this.ttl = ttl;
    this.visible = new LaggingValue<>(List.of(), lag, clock);
  }

  /** Adds, replaces or renews an announcement. */
  public synchronized void put(Announcement announcement) {
    renewed.put(announcement.id(), clock.instant());
    Announcement previous = announced.put(announcement.id(), announcement);
    if (!announcement.equals(previous)) {
      publish();
    }
  }

  /** Removes an announcement; does nothing if the id is not announced. */
  public synchronized void remove(String id) {
    renewed.remove(id);
    if (announced.remove(id) != null) {
      publish();
    }
  }

  /** Returns the newest list that is at least as old as the lag, with its time. */
  public LaggingValue.Dated<List<Announcement>> visible() {
    return visible.visible();
  }

  /**
   * Removes the announcements that have expired.
   *
   * @param reachable whether processes can reach the platform at present; if false, all
   *     announcements are renewed and none is removed
   */
  public synchronized void expire(boolean reachable) {
    if (ttl.isZero()) {
      return;
    }
    Instant now = clock.instant();
    if (!reachable) {
      // Processes cannot repeat their announcements during an outage of the platform. Without this
      // renewal all announcements would expire at the end of the outage, although the processes
      // run.
      renewed.replaceAll((id, previous) -> now);
      return;
    }
    List<String> expired =
        renewed.entrySet().stream()
            .filter(entry -> entry.getValue().plus(ttl).isBefore(now))
            .map(Map.Entry::getKey)
            .toList();
    expired.forEach(this::remove);
  }

  private void publish() {
    visible.publish(List.copyOf(announced.values()));
  }
}
