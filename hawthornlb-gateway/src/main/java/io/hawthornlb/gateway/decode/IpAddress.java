package io.hawthornlb.gateway.decode;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

/**
 * Reads addresses that others wrote.
 *
 * <p>Failure: an entry names a host where an IP address belongs. It shows as a gateway that stands
 * still for seconds, since looking a name up blocks the event loop. Guard: nothing is looked up;
 * four numbers and a port are an address, all else is none.
 */
public final class IpAddress {

  private static final int PARTS = 4;
  private static final int MAX_PART = 255;
  private static final int MAX_PORT = 65_535;
  private static final Pattern DOT = Pattern.compile("\\.");

  private IpAddress() {}

  /**
   * Returns the address that a text of the form {@code IP:port} names.
   *
   * @throws UnreadableException if it names none
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
   * Returns the address of a host and a port.
   *
   * @throws UnreadableException if the host is no IP address or the port none
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
      throw new IllegalStateException("Four bytes are an address", e);
    }
  }

  /** Returns a number without sign or leading zeros; -1 if it is none or beyond a bound. */
  private static int number(String text, int most) {
    boolean digits = !text.isEmpty() && text.chars().allMatch(each -> each >= '0' && each <= '9');
    boolean plain = digits && text.length() <= 5 && (text.length() == 1 || text.charAt(0) != '0');
    int number = plain ? Integer.parseInt(text) : -1;
    return number <= most ? number : -1;
  }
}
