package io.hawthornlb.gateway.event;

import org.jspecify.annotations.Nullable;

/** A line that is being put together; nothing is written before {@link #write()}. */
public interface EventLine {

  /** Adds a text; a null is left out. */
  EventLine with(String name, @Nullable String value);

  /** Adds a number. */
  EventLine with(String name, long value);

  /** Hands the line over. */
  void write();
}
