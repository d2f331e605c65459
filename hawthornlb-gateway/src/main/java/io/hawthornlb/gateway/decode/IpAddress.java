package io.hawthornlb.gateway.decode;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

/**
 * Parses IP addresses written by other processes.
 *
 * <p>Resolving a host name would block the event loop for seconds. This class therefore never
 * resolves names: it accepts four numbers and a port, and nothing else.
 */
public final class IpAddress {

  private static final int PARTS = 4;
  private static final int MAX_PART = 255;
  private static final int MAX_PORT = 65_535;
  private static final Pattern DOT = Pattern.compile("\\.");

  private IpAddress() {}

  /**
   * Parses a string of the form {@code IP:port}.
   *
   * @throws UnreadableException if the string is not of this form
   */
  public static InetSocketAddress parse(String place, String text) {
    int colon = text.indexOf(':');
    if (colon < 0) {
      throw new UnreadableException(place, "no port");
    }
    int port = number(text.substring(colon + 1), MAX_PORT);
    return of(place, text.substring(0, colon), port);
  }

  /**
   * Returns the socket address of an IP address and a port.
   *
   * @throws UnreadableException if the IP address or the port is not valid
   */
  public static InetSocketAddress of(String place, String ip, int port) {
    if (port < 1 || port > MAX_PORT) {
      throw new UnreadableException(place, "not a port from 1 to " + MAX_PORT);
    }
    String[] parts = DOT.split(ip, -1);
    byte[] bytes = new byte[PARTS];
    for (int i = 0; i < PARTS; i++) {
      int part = parts.length == PARTS ? number(parts[i], MAX_PART) : -1;
      if (part < 0) {
        throw new UnreadableException(place, "not an IP address of four numbers");
      }
      bytes[i] = (byte) part;
    }
    try {
      return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
    } catch (UnknownHostException e) {
      throw new IllegalStateException("four bytes must form an IP address", e);
    }
  }

  /**
   * Parses a number without sign or leading zeros; returns -1 if the string is no such number or
   * exceeds the bound.
   */
  private static int number(String text, int max) {
    boolean digits = !text.isEmpty() && text.chars().allMatch(each -> each >= '0' && each <= '9');
    boolean plain = digits && text.length() <= 5 && (text.length() == 1 || text.charAt(0) != '0');
    int number = plain ? Integer.parseInt(text) : -1;
    return number <= max ? number : -1;
  }
}
