package io.hawthornlb.core.model;

import io.hawthornlb.core.util.Checks;

/** Identifies a service of the catalogue. Callers send it as the model name or in the path. */
public record ServiceName(String value) implements Comparable<ServiceName> {

  /** Checks that the name is not blank. */
  public ServiceName {
    Checks.hasText(value, "service name");
  }

  @Override
  public int compareTo(ServiceName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
