package io.hawthornlb.gateway.event;

import org.jspecify.annotations.Nullable;

/** A log line under construction; nothing is written before {@link #write()}. */
public interface EventLine {

  /** Adds a string field; a null value is omitted. */
  EventLine with(String name, @Nullable String value);

  /** Adds a number field. */
  EventLine with(String name, long value);

  /** Submits the line for writing. */
  void write();
}
