package io.hawthornlb.app.settings;

import io.hawthornlb.core.util.Checks;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * IP address and port.
 *
 * <p>Host names are not accepted: processes find each other by IP address, without a name service.
 *
 * @param host the IP address, without brackets
 * @param port the port; 0 lets the operating system choose one
 */
public record NetworkAddress(String host, int port) {

  /** Message for a malformed address. */
  public static final String EXPECTED = "expected an IP number and a port, such as 10.0.0.7:8080";

  private static final int MAX_PORT = 65_535;

  /** Validates host and port. */
  public NetworkAddress {
    Checks.isTrue(NetUtil.createByteArrayFromIpAddressString(host) != null, EXPECTED);
    Checks.isTrue(port >= 0 && port <= MAX_PORT, "port must be from 0 to 65535");
  }

  /**
   * Parses a text such as {@code 10.0.0.7:8080} or {@code [::1]:8080}.
   *
   * @return the address; empty if the text is malformed
   */
  public static Optional<NetworkAddress> parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      return Optional.empty();
    }
    String host = text.substring(0, colon).replaceAll("^\\[(.*)]$", "$1");
    try {
      return Optional.of(new NetworkAddress(host, Integer.parseInt(text.substring(colon + 1))));
    } catch (IllegalArgumentException ignored) {
      return Optional.empty();
    }
  }

  /** Returns whether the address is reachable only from the same machine. */
  public boolean isLoopback() {
    return socketAddress().getAddress().isLoopbackAddress();
  }

  /** Returns this address as a socket address. */
  public InetSocketAddress socketAddress() {
    InetAddress address = NetUtil.createInetAddressFromIpAddressString(host);
    return new InetSocketAddress(address, port);
  }

  @Override
  public String toString() {
    return host.indexOf(':') >= 0 ? "[" + host + "]:" + port : host + ":" + port;
  }
}
