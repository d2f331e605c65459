package io.hawthornlb.http.support;

import io.hawthornlb.http.ResponseFault;
import java.nio.charset.StandardCharsets;

/** Parses the status line of a response. */
final class StatusLineParser {

  private static final byte[] PROTOCOL = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
  private static final int MINOR_VERSION_AT = PROTOCOL.length;
  private static final int STATUS_AT = MINOR_VERSION_AT + 2;
  private static final int STATUS_END = STATUS_AT + 3;
  private static final int MIN_STATUS = 100;
  private static final int MAX_STATUS = 599;

  private int position;
  private int minorVersion;
  private int status;
  private boolean lineEnding;

  void restart() {
    position = 0;
    status = 0;
    lineEnding = false;
  }

  int minorVersion() {
    return minorVersion;
  }

  int status() {
    return status;
  }

  /** Returns whether an octet of the line was read. */
  boolean begun() {
    return position > 0;
  }

  /** Reads an octet; returns whether it was the last one of the line. */
  boolean accept(byte octet) {
    int at = position;
    position++;
    if (at >= STATUS_END) {
      return acceptReason(octet, at);
    }
    if (at >= STATUS_AT) {
      acceptStatus(octet, at);
    } else if (at == MINOR_VERSION_AT) {
      ResponseFault.STATUS_LINE.unless(Octets.isDigit(octet));
      minorVersion = octet - '0';
    } else {
      byte expected = at < MINOR_VERSION_AT ? PROTOCOL[at] : Octets.SP;
      ResponseFault.STATUS_LINE.unless(octet == expected);
    }
    return false;
  }

  private void acceptStatus(byte octet, int at) {
    ResponseFault.STATUS.unless(Octets.isDigit(octet));
    status = 10 * status + octet - '0';
    if (at == STATUS_END - 1) {
      ResponseFault.STATUS.unless(status >= MIN_STATUS && status <= MAX_STATUS);
    }
  }

  /** Reads an octet of the reason phrase, which may be missing together with the space before. */
  private boolean acceptReason(byte octet, int at) {
    if (lineEnding) {
      ResponseFault.LINE_END.unless(octet == Octets.LF);
      return true;
    }
    if (octet == Octets.CR) {
      lineEnding = true;
      return false;
    }
    ResponseFault.LINE_END.unless(octet != Octets.LF);
    ResponseFault.STATUS.unless(at > STATUS_END || !Octets.isDigit(octet));
    boolean allowed = at == STATUS_END ? octet == Octets.SP : Octets.isText(octet);
    ResponseFault.STATUS_LINE.unless(allowed);
    return false;
  }
}
