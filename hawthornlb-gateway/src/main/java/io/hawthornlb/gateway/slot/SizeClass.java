package io.hawthornlb.gateway.slot;

/** Classes of requests by their estimated work, relative to the usual work of the service. */
public enum SizeClass {
  /** At most half of the usual work. */
  SMALL,
  /** More than half and at most twice the usual work. */
  MEDIUM,
  /** More than twice the usual work. */
  LARGE;

  /** Returns the class of a request with the given multiple of the usual work. */
  public static SizeClass of(double units) {
    return units <= 0.5 ? SMALL : units <= 2 ? MEDIUM : LARGE;
  }
}
