package io.hawthornlb.core.model;

import io.hawthornlb.core.util.Checks;
import java.time.Instant;

/**
 * Identifies one start of an entry instance; a restarted instance has another id.
 *
 * <p>The part before {@link #START_SEPARATOR} is the stable name from the settings, which stays the
 * same after a restart. Placement uses the stable name, so a restarted instance is placed as
 * before. The whole id distinguishes its records, claims and messages from those of the previous
 * process.
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

  /** Separates the stable name from the start time. */
  public static final char START_SEPARATOR = '~';

  private static final int RADIX = 36;

  /** Checks that the id is not blank. */
  public InstanceId {
    Checks.hasText(value, "instance id");
  }

  /**
   * Returns the id of a process that was started at the given time with the given name from the
   * settings.
   */
  public static InstanceId startedAt(InstanceId name, Instant start) {
    return new InstanceId(
        name.stableName() + START_SEPARATOR + Long.toString(start.toEpochMilli(), RADIX));
  }

  /** Returns the name that stays the same after a restart. */
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
