package io.hawthornlb.core.harness;

import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.log.LogRecord;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/** Stream of the platform that appends a record as often as it is sent. */
public final class FakeLog {

  private final List<LogRecord> records = new ArrayList<>();
  private boolean down;
  private int appends;

  public void append(AppendRecord effect, Instant now) {
    appends++;
    records.add(new LogRecord(records.size(), now, effect.id(), effect.body()));
  }

  public List<LogRecord> readFrom(long offset) {
    return List.copyOf(records.subList((int) offset, records.size()));
  }

  public LogRecord at(long offset) {
    return records.get((int) offset);
  }

  public int size() {
    return records.size();
  }

  public int appends() {
    return appends;
  }

  public void down(boolean value) {
    down = value;
  }

  public boolean isDown() {
    return down;
  }
}
