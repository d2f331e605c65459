package io.hawthornlb.app.settings;

import io.hawthornlb.core.util.Checks;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * An IP number and a port; processes find each other by IP numbers, without a name service.
 *
 * @param host the IP number, without brackets
 * @param port the port; 0 lets the machine choose
 */
public record NetworkAddress(String host, int port) {

  /** What to tell the writer of a wrong value. */
  public static final String EXPECTED = "expected an IP number and a port, such as 10.0.0.7:8080";

  private static final int MAX_PORT = 65_535;

  /** Checks host and port. */
  public NetworkAddress {
    Checks.isTrue(NetUtil.createByteArrayFromIpAddressString(host) != null, EXPECTED);
    Checks.isTrue(port >= 0 && port <= MAX_PORT, "port must be from 0 to 65535");
  }

  /** Returns the address of a text such as {@code 10.0.0.7:8080} or {@code [::1]:8080}. */
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

  /** Returns whether only processes of the same machine reach the address. */
  public boolean isLoopback() {
    return socketAddress().getAddress().isLoopbackAddress();
  }

  /** Returns the address for a socket. */
  public InetSocketAddress socketAddress() {
    InetAddress address = NetUtil.createInetAddressFromIpAddressString(host);
    return new InetSocketAddress(address, port);
  }

  @Override
  public String toString() {
    return host.indexOf(':') >= 0 ? "[" + host + "]:" + port : host + ":" + port;
  }
}
