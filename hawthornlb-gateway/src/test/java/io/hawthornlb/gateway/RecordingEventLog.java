package io.hawthornlb.gateway;

import io.hawthornlb.gateway.event.EventLine;
import io.hawthornlb.gateway.event.EventLog;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Event log that records the names of events and their causes. */
public final class RecordingEventLog implements EventLog {

  private final List<String> events = new ArrayList<>();
  private final List<String> causes = new ArrayList<>();

  /** Returns the events so far, as {@code part.event}. */
  public synchronized List<String> events() {
    return List.copyOf(events);
  }

  /** Returns the causes of events so far. */
  public synchronized List<String> causes() {
    return List.copyOf(causes);
  }

  @Override
  public EventLine routine(String part, String event) {
    return new Line(part + "." + event);
  }

  @Override
  public EventLine important(String part, String event) {
    return routine(part, event);
  }

  private synchronized void addCause(String cause) {
    causes.add(cause);
  }

  private synchronized void add(String event) {
    events.add(event);
  }

  private final class Line implements EventLine {

    private final String event;

    private Line(String event) {
      this.event = event;
    }

    @Override
    public EventLine with(String name, @Nullable String value) {
      if (name.equals("cause") && value != null) {
        addCause(value);
      }
      return this;
    }

    @Override
    public EventLine with(String name, long value) {
      return this;
    }

    @Override
    public void write() {
      add(event);
    }
  }
}
