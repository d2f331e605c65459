package io.hawthornlb.gateway.loop;

import java.net.InetSocketAddress;

/** Thrown when a process cannot listen on an address, mostly because another one does. */
public final class ListenException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param purpose what the address is for
   */
  ListenException(InetSocketAddress address, String purpose, Throwable cause) {
    super(
        String.format(
            "Cannot listen on %s:%d for %s: %s. End the process that holds the port, or set another"
                + " one.",
            address.getHostString(), address.getPort(), purpose, cause.getMessage()),
        cause);
  }
}
