package io.hawthornlb.core.model;

import io.hawthornlb.core.util.Checks;

/** Identifies one request of a caller across instances and endpoints. */
public record RequestId(String value) implements Comparable<RequestId> {

  /** Checks that the id is not blank. */
  public RequestId {
    Checks.hasText(value, "request id");
  }

  @Override
  public int compareTo(RequestId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
