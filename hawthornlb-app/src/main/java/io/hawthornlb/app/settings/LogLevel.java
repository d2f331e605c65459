package io.hawthornlb.app.settings;

/** Lowest level at which events are logged. */
public enum LogLevel {
  /** Events for developers. */
  DEBUG,
  /** Events of normal operation. */
  INFO,
  /** Events that may need attention by an operator. */
  WARNING,
  /** Failures. */
  ERROR
}
