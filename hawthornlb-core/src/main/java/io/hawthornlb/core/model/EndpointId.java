package io.hawthornlb.core.model;

import io.hawthornlb.core.util.Checks;

/** Names one endpoint (a model engine or a plain service process). */
public record EndpointId(String value) implements Comparable<EndpointId> {

  /** Checks that the name is not blank. */
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
