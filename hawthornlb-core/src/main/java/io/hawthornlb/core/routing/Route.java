package io.hawthornlb.core.routing;

import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.EndpointId;

/**
 * Destination of a request.
 *
 * @param endpoint id of the chosen endpoint
 * @param address host and port of the endpoint
 * @param dataCentre data centre of the endpoint
 * @param costMillis estimated cost in milliseconds by which the router chose the endpoint
 */
public record Route(
    EndpointId endpoint, String address, DataCentre dataCentre, double costMillis) {}
