package io.hawthornlb.gateway.decode;

import io.hawthornlb.gateway.event.EventLine;
import io.hawthornlb.gateway.event.EventLog;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Logs unreadable records, each one once per reason.
 *
 * <p>Another writer may fill a list with thousands of unreadable records, and the list is read
 * again after each outage. A record that is still unreadable for the same reason is not logged
 * again. Lines beyond a limit per minute are counted instead, and the count is added to the next
 * line.
 */
public final class UnreadableRecords {

  /**
   * Number of records whose reason is remembered; ten times the endpoints of the largest fleet
   * would be about 4,000.
   */
  private static final int MAX_REMEMBERED = 4_096;

  /**
   * Maximum number of lines per {@link #SPAN}; enough to identify the writer, and few compared with
   * the lines about requests.
   */
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
  private long suppressed;

  /**
   * Creates a log for one kind of record.
   *
   * @param part part of the process that reads the records
   * @param event event name of the log lines
   * @param keyName name of the log field for the record's key
   */
  public UnreadableRecords(
      EventLog log, InstantSource clock, String part, String event, String keyName) {
    this.log = log;
    this.clock = clock;
    this.part = part;
    this.event = event;
    this.keyName = keyName;
  }

  /**
   * Reports that a record is unreadable; logs it unless it was reported before for the same reason.
   */
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
      suppressed++;
      return;
    }
    lines++;
    EventLine line =
        log.important(part, event).with(keyName, key).with("cause", cause.getMessage());
    if (suppressed > 0) {
      line.with("notTold", suppressed);
      suppressed = 0;
    }
    if (lines == MAX_LINES) {
      line.with("silentMillis", Duration.between(now, spanEnd).toMillis());
    }
    line.write();
  }

  /** Reports that a record has become readable or was removed. */
  public void forget(String key) {
    if (!reasons.isEmpty()) {
      reasons.remove(key);
    }
  }

  /** Reasons by key; evicts the oldest entries. */
  private static final class Bounded extends LinkedHashMap<String, String> {

    private static final long serialVersionUID = 1L;

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
      return size() > MAX_REMEMBERED;
    }
  }
}
