package io.hawthornlb.core.model;

import io.hawthornlb.core.util.Checks;
import java.time.Instant;

/**
 * Names one entry instance; unique for the life of one process start.
 *
 * <p>The part before {@link #START_SEPARATOR} is the name that the settings give. It stays through
 * restarts, so that a restarted instance is placed as before, while its records, claims and
 * messages are told from those of the process before it.
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

  /** Stands between the name of the settings and the mark of the start. */
  public static final char START_SEPARATOR = '~';

  private static final int RADIX = 36;

  /** Checks that the name is not blank. */
  public InstanceId {
    Checks.hasText(value, "instance id");
  }

  /** Returns the id of a process that was started at a time under a name of the settings. */
  public static InstanceId startedAt(InstanceId name, Instant start) {
    return new InstanceId(
        name.stableName() + START_SEPARATOR + Long.toString(start.toEpochMilli(), RADIX));
  }

  /** Returns the name that stays through restarts. */
  public String stableName() {
    int separator = value.indexOf(START_SEPARATOR);
    return separator < 0 ? value : value.substring(0, separator);
  }

  @Override
  public int compareTo(InstanceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
