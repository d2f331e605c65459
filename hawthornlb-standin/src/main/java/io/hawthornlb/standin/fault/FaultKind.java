package io.hawthornlb.standin.fault;

import java.util.Arrays;
import java.util.Optional;

/** The kinds of faults that a stand-in can emulate. */
public enum FaultKind {
  /** The stand-in answers requests with status 503. */
  DOWN("down"),
  /** The stand-in closes the connection when a request arrives and does not run the request. */
  REFUSE("refuse"),
  /** The stand-in waits before it runs a request. */
  SLOW("slow"),
  /** The stand-in runs a request, then closes the connection instead of sending the response. */
  LOSE_ANSWER("lose-answer"),
  /**
   * Connections that are open at the activation stay open, but the stand-in sends no further data
   * on them and discards the data it receives. New connections work.
   */
  SILENT("silent"),
  /** The process ends without a response when a request body contains a given text. */
  CRASH_ON("crash-on"),
  /**
   * The process ends as it begins to write the answer to a request whose body contains a given
   * text.
   */
  CRASH_WRITING("crash-writing"),
  /**
   * The stand-in sends each answer a second time, late: where the next answer on its connection is
   * expected.
   */
  LATE_COPY("late-copy"),
  /** The value of the fault replaces the configured age of an engine's load report. */
  LAG_REPORTS("lag-reports"),
  /** The stand-in reports itself as leaving in health and announcements, and keeps serving. */
  LEAVING("leaving");

  private final String wireName;

  FaultKind(String wireName) {
    this.wireName = wireName;
  }

  /** Returns whether an order of this kind must name a text. */
  public boolean needsMatch() {
    return this == CRASH_ON || this == CRASH_WRITING;
  }

  /** Returns the name in the fault protocol. */
  public String wireName() {
    return wireName;
  }

  /** Returns the kind with the given wire name, or empty if there is none. */
  public static Optional<FaultKind> ofWireName(String name) {
    return Arrays.stream(values()).filter(kind -> kind.wireName.equals(name)).findFirst();
  }
}
