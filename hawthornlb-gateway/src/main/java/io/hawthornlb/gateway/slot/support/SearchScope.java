package io.hawthornlb.gateway.slot.support;

/**
 * Scope of a search for a slot; searches with equal scopes find the same endpoints, except for
 * those that a request excludes.
 */
record SearchScope(String dataCentre, boolean batch) {

  // Written by hand, because the JVM links the generated methods at run time, which takes some
  // milliseconds.
  @Override
  public boolean equals(Object other) {
    return other instanceof SearchScope scope
        && batch == scope.batch
        && dataCentre.equals(scope.dataCentre);
  }

  @Override
  public int hashCode() {
    return 31 * dataCentre.hashCode() + Boolean.hashCode(batch);
  }
}
