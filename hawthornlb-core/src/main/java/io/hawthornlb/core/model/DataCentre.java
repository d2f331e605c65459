package io.hawthornlb.core.model;

import io.hawthornlb.core.util.Checks;

/** Identifies a data centre. */
public record DataCentre(String value) implements Comparable<DataCentre> {

  /** Checks that the name is not blank. */
  public DataCentre {
    Checks.hasText(value, "data centre");
  }

  @Override
  public int compareTo(DataCentre other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
