package io.hawthornlb.core.routing;

import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.EndpointId;

/**
 * Where a request goes.
 *
 * @param endpoint the endpoint
 * @param address its host and port
 * @param dataCentre where it runs
 * @param costMillis the estimated cost in milliseconds by which it was chosen
 */
public record Route(
    EndpointId endpoint, String address, DataCentre dataCentre, double costMillis) {}
