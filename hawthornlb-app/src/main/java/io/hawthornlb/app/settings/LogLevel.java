package io.hawthornlb.app.settings;

/** The least serious event that is logged. */
public enum LogLevel {
  /** Events for developers. */
  DEBUG,
  /** Events in ordinary operation. */
  INFO,
  /** Events that may need an operator. */
  WARNING,
  /** Failures. */
  ERROR
}
