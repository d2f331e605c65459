package io.hawthornlb.gateway.peer;

import io.hawthornlb.core.util.Checks;
import java.net.InetSocketAddress;

/**
 * A process of this fleet.
 *
 * @param name name of the instance, which stays over restarts
 * @param boot id of this start of the process
 * @param address where it takes datagrams from the others
 * @param dataCentre where it stands
 */
public record GatewayInstance(
    String name, String boot, InetSocketAddress address, String dataCentre) {

  /** Checks the arguments. */
  public GatewayInstance {
    Checks.hasText(name, "name");
    Checks.hasText(boot, "boot");
  }
}
