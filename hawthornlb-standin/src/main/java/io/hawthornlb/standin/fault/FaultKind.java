package io.hawthornlb.standin.fault;

import java.util.Arrays;
import java.util.Optional;

/** What a stand-in can be told to do wrong. */
public enum FaultKind {
  /** Answers 503. */
  DOWN("down"),
  /** Closes the connection as soon as a request arrives, without acting. */
  REFUSE("refuse"),
  /** Waits before it acts. */
  SLOW("slow"),
  /** Acts, then closes the connection in place of the answer. */
  LOSE_ANSWER("lose-answer"),
  /** Connections that were open get no further byte, and what they send is not seen. */
  SILENT("silent"),
  /** Ends the process when a request body contains a text. */
  CRASH_ON("crash-on"),
  /** Makes the load report of an engine as old as its value says, in place of its settings. */
  LAG_REPORTS("lag-reports"),
  /** Says in health and announcements that it leaves, and serves on. */
  LEAVING("leaving");

  private final String wireName;

  FaultKind(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the name in the fault protocol. */
  public String wireName() {
    return wireName;
  }

  /** Returns the kind of a wire name, or empty when there is none. */
  public static Optional<FaultKind> ofWireName(String name) {
    return Arrays.stream(values()).filter(kind -> kind.wireName.equals(name)).findFirst();
  }
}
