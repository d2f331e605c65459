package io.hawthornlb.gateway.slot.support;

/**
 * An endpoint as seen from a data centre. A failure on the network path between them affects
 * requests from this data centre only.
 *
 * @param endpoint id of the endpoint
 * @param dataCentre data centre that requests come from
 */
record EndpointView(String endpoint, String dataCentre) {

  // Written by hand, because the JVM links the generated methods at run time, which takes some
  // milliseconds.
  @Override
  public boolean equals(Object other) {
    return other instanceof EndpointView view
        && endpoint.equals(view.endpoint)
        && dataCentre.equals(view.dataCentre);
  }

  @Override
  public int hashCode() {
    return 31 * endpoint.hashCode() + dataCentre.hashCode();
  }
}
