package io.hawthornlb.gateway.peer;

import io.hawthornlb.core.util.Checks;
import java.net.InetSocketAddress;

/**
 * A gateway process of this fleet.
 *
 * @param name name of the instance, stable across restarts
 * @param boot id of this start of the process
 * @param address address for datagrams from other processes
 * @param dataCentre data centre of the instance
 * @param cores processor time available to the process, in cores
 */
public record GatewayInstance(
    String name, String boot, InetSocketAddress address, String dataCentre, double cores) {

  /** Creates an instance of one core. */
  public GatewayInstance(String name, String boot, InetSocketAddress address, String dataCentre) {
    this(name, boot, address, dataCentre, 1);
  }

  /** Checks the arguments. */
  public GatewayInstance {
    Checks.hasText(name, "name");
    Checks.hasText(boot, "boot");
  }

  // Written explicitly because the generated methods of a record are linked at run time, which
  // takes some milliseconds.
  @Override
  public boolean equals(Object other) {
    return other instanceof GatewayInstance instance
        && name.equals(instance.name)
        && boot.equals(instance.boot)
        && address.equals(instance.address)
        && dataCentre.equals(instance.dataCentre)
        && Double.compare(cores, instance.cores) == 0;
  }

  @Override
  public int hashCode() {
    return 31 * name.hashCode() + boot.hashCode();
  }
}
