package io.hawthornlb.app.dispatch;

import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.util.Checks;
import java.time.Duration;

/**
 * One try of a request at one endpoint.
 *
 * @param request the request
 * @param endpoint the endpoint
 * @param address its host and port
 * @param number counts the tries of the request from 1
 * @param remaining the time until the deadline
 */
public record RoutedAttempt(
    OnlineRequest request, EndpointId endpoint, String address, int number, Duration remaining) {

  /** Checks the number. */
  public RoutedAttempt {
    Checks.isTrue(number > 0, "attempts count from 1");
  }
}
