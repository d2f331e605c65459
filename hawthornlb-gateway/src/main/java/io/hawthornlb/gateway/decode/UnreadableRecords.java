package io.hawthornlb.gateway.decode;

import io.hawthornlb.gateway.event.EventLine;
import io.hawthornlb.gateway.event.EventLog;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Logs what cannot be read, each record once with its reason.
 *
 * <p>Load pattern: another writer fills a list with thousands of records that cannot be read, and
 * the list is read again after each outage. Guard: a record that is still unreadable for the same
 * reason is not told again, and what goes beyond some lines a minute is counted and told with the
 * next line.
 */
public final class UnreadableRecords {

  /** Records remembered; some ten times the endpoints of the largest fleet would be 4,000. */
  private static final int MAX_REMEMBERED = 4_096;

  /** Lines in one span; enough to see who writes, few beside the lines of requests. */
  static final int MAX_LINES = 50;

  private static final Duration SPAN = Duration.ofMinutes(1);

  private final EventLog log;
  private final InstantSource clock;
  private final String part;
  private final String event;
  private final String keyName;
  private final Map<String, String> reasons = new Bounded();
  private Instant spanEnd = Instant.MIN;
  private int lines;
  private long passedOver;

  /**
   * Creates a log of one kind of records.
   *
   * @param part part of the process that reads them
   * @param event event of the lines
   * @param keyName name under which a line tells the key
   */
  public UnreadableRecords(
      EventLog log, InstantSource clock, String part, String event, String keyName) {
    this.log = log;
    this.clock = clock;
    this.part = part;
    this.event = event;
    this.keyName = keyName;
  }

  /** Takes that the record under a key cannot be read; tells it unless that is known. */
  public void report(String key, UnreadableException cause) {
    if (cause.getMessage().equals(reasons.put(key, cause.getMessage()))) {
      return;
    }
    Instant now = clock.instant();
    if (!now.isBefore(spanEnd)) {
      spanEnd = now.plus(SPAN);
      lines = 0;
    }
    if (lines >= MAX_LINES) {
      passedOver++;
      return;
    }
    lines++;
    EventLine line =
        log.important(part, event).with(keyName, key).with("cause", cause.getMessage());
    if (passedOver > 0) {
      line.with("notTold", passedOver);
      passedOver = 0;
    }
    if (lines == MAX_LINES) {
      line.with("silentMillis", Duration.between(now, spanEnd).toMillis());
    }
    line.write();
  }

  /** Takes that the record under a key can be read, or is gone. */
  public void forget(String key) {
    if (!reasons.isEmpty()) {
      reasons.remove(key);
    }
  }

  /** Reasons by key; forgets the oldest ones. */
  private static final class Bounded extends LinkedHashMap<String, String> {

    private static final long serialVersionUID = 1L;

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
      return size() > MAX_REMEMBERED;
    }
  }
}
