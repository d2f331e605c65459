package io.hawthornlb.gateway.route;

import io.hawthornlb.core.util.Checks;

/**
 * A service that routes name.
 *
 * @param name name of the service
 * @param generatesTokens whether its endpoints generate tokens in batches
 */
public record ServiceSpec(String name, boolean generatesTokens) {

  /** Checks the arguments. */
  public ServiceSpec {
    Checks.hasText(name, "name");
  }
}
