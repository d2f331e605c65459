package io.hawthornlb.gateway.event;

/**
 * Structured log with one line for each decision.
 *
 * <p>Writing never blocks the caller: lines that exceed the limits are dropped and counted, and the
 * count is logged later.
 *
 * @see io.hawthornlb.gateway.event.EventLine
 */
public interface EventLog {

  /** Starts a line that is dropped first when there are too many lines. */
  EventLine routine(String part, String event);

  /** Starts a line about a failure or a change of the process's view of the system. */
  EventLine important(String part, String event);
}
