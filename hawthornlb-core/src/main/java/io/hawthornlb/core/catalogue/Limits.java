package io.hawthornlb.core.catalogue;

import io.hawthornlb.core.util.Checks;

/**
 * Limits that apply to the whole fleet.
 *
 * @param requestsPerSecond maximum number of admitted requests per second
 * @param concurrent maximum number of requests in progress at once
 * @param bodyBytes maximum size of a request body
 */
public record Limits(double requestsPerSecond, int concurrent, int bodyBytes) {

  /** Limits of entries that declare none. */
  public static final Limits DEFAULT = new Limits(1_000, 1_000, 1 << 20);

  /** Checks that every limit is positive. */
  public Limits {
    Checks.isTrue(requestsPerSecond > 0, "requests per second must be positive");
    Checks.isTrue(concurrent > 0, "concurrent must be positive");
    Checks.isTrue(bodyBytes > 0, "body bytes must be positive");
  }
}
