package io.hawthornlb.gateway.event;

/**
 * Takes one structured line for each decision.
 *
 * <p>Writing never blocks the caller: what does not fit is counted and told later.
 *
 * @see io.hawthornlb.gateway.event.EventLine
 */
public interface EventLog {

  /** Begins a line that is left out first when there are too many. */
  EventLine routine(String part, String event);

  /** Begins a line about a failure or a change of what the process believes. */
  EventLine important(String part, String event);
}
