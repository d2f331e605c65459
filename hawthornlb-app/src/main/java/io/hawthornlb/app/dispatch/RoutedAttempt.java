package io.hawthornlb.app.dispatch;

import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.util.Checks;
import java.time.Duration;

/**
 * One attempt to serve a request at an endpoint.
 *
 * @param request the request
 * @param endpoint the endpoint
 * @param address the host and port of the endpoint
 * @param number the number of the attempt within the request, from 1
 * @param remaining the time until the deadline of the request
 */
public record RoutedAttempt(
    OnlineRequest request, EndpointId endpoint, String address, int number, Duration remaining) {

  /** Checks the number. */
  public RoutedAttempt {
    Checks.isTrue(number > 0, "attempt number must be 1 or more");
  }
}
