package io.hawthornlb.gateway.loop;

/** Kinds of work of an event loop. */
public enum WorkKind {
  /** Selecting and waiting for events. */
  SELECT("select"),
  /** Accepting connections. */
  ACCEPT("accept"),
  /** Completing outgoing connections. */
  CONNECT("connect"),
  /** Reading requests of callers. */
  CALLER("caller"),
  /** Reading responses of endpoints to requests of callers. */
  ANSWER("answer"),
  /** Reading responses of endpoints to items of jobs. */
  ITEM("item"),
  /** Reading datagrams of other instances. */
  DATAGRAM("datagram"),
  /** Reading replies to HTTP calls, nearly all of them of the store. */
  STORE("store"),
  /** Reading from links to other instances. */
  LINK("link"),
  /** Events on connections that no handler classified, such as those of closed connections. */
  OTHER("other"),
  /** Tasks submitted to the loop. */
  TASK("task"),
  /** Timers that fired. */
  TIMER("timer"),
  /** The loop itself, between other work items. */
  LOOP("loop");

  private final String label;

  WorkKind(String label) {
    this.label = label;
  }

  /** Returns the name of this kind in log lines. */
  public String label() {
    return label;
  }
}
