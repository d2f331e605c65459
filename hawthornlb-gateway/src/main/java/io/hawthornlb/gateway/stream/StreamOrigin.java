package io.hawthornlb.gateway.stream;

import io.hawthornlb.core.util.Checks;
import io.hawthornlb.gateway.endpoint.EndpointRecord;

/**
 * What began a stream. The stream may be continued only at endpoints of the same origin, since what
 * two versions write does not fit together.
 *
 * @param service service of the endpoint that sent the first event
 * @param version software version of that endpoint
 */
public record StreamOrigin(String service, String version) {

  /** Checks the arguments. */
  public StreamOrigin {
    Checks.hasText(service, "service");
  }

  /** Returns whether an endpoint may continue the stream. */
  public boolean matches(EndpointRecord endpoint) {
    return service.equals(endpoint.service()) && version.equals(endpoint.version());
  }
}
