package io.hawthornlb.core.model;

import io.hawthornlb.core.util.Checks;

/** Identifies an endpoint: a model engine or a process of a plain service. */
public record EndpointId(String value) implements Comparable<EndpointId> {

  /** Checks that the id is not blank. */
  public EndpointId {
    Checks.hasText(value, "endpoint id");
  }

  @Override
  public int compareTo(EndpointId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
