package io.hawthornlb.gateway.slot.support;

/**
 * An endpoint as seen from a data centre: what fails on the way there fails for one side alone.
 *
 * @param endpoint id of the endpoint
 * @param dataCentre where the requests come from
 */
record Place(String endpoint, String dataCentre) {

  // Written out: the generated ones are linked at run time, in some milliseconds.
  @Override
  public boolean equals(Object other) {
    return other instanceof Place place
        && endpoint.equals(place.endpoint)
        && dataCentre.equals(place.dataCentre);
  }

  @Override
  public int hashCode() {
    return 31 * endpoint.hashCode() + dataCentre.hashCode();
  }
}
