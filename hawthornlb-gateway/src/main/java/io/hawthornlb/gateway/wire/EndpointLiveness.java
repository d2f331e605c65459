package io.hawthornlb.gateway.wire;

import java.net.InetSocketAddress;

/** Finds out whether an endpoint has ended. */
public interface EndpointLiveness {

  /** Receives whether an endpoint has ended. */
  interface Receiver {

    /**
     * Called once.
     *
     * @param ended true if the endpoint refuses connections or closes them at once; false if it
     *     keeps them or cannot be reached
     */
    void onChecked(boolean ended);
  }

  /** Checks the endpoint at an address. */
  void check(InetSocketAddress address, Receiver receiver);
}
