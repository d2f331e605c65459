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

  // Written by hand, because the JVM links the generated methods at run time, which takes some
  // milliseconds.
  @Override
  public boolean equals(Object other) {
    return other instanceof StreamOrigin origin
        && service.equals(origin.service)
        && version.equals(origin.version);
  }

  @Override
  public int hashCode() {
    return 31 * service.hashCode() + version.hashCode();
  }
}
