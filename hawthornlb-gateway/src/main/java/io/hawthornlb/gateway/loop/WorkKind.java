package io.hawthornlb.gateway.loop;

/** Kinds of work of an event loop. */
public enum WorkKind {
  /** Selecting, and waiting for events. */
  SELECT("select"),
  /** Taking connections. */
  ACCEPT("accept"),
  /** Connections that open. */
  CONNECT("connect"),
  /** Bytes of callers. */
  CALLER("caller"),
  /** Answers of endpoints to callers. */
  ANSWER("answer"),
  /** Answers of endpoints to items of jobs. */
  ITEM("item"),
  /** Datagrams of other instances. */
  DATAGRAM("datagram"),
  /** Replies to calls over HTTP, all but few of the store. */
  STORE("store"),
  /** Links to other instances. */
  LINK("link"),
  /** Events on connections that no handler told apart; closed ones, for instance. */
  OTHER("other"),
  /** Tasks that were handed to the loop. */
  TASK("task"),
  /** Timers that fired. */
  TIMER("timer"),
  /** The loop itself, between other work. */
  LOOP("loop");

  private final String label;

  WorkKind(String label) {
    this.label = label;
  }

  /** Returns the name by which lines of the log tell it. */
  public String label() {
    return label;
  }
}
