package io.hawthornlb.http.support;

import io.hawthornlb.http.ResponseFault;

/** Parses the lines of a header or trailer section, and collects the fields that frame a body. */
final class FieldLineParser {

  private static final String CONTENT_LENGTH = "content-length";
  private static final String TRANSFER_ENCODING = "transfer-encoding";
  private static final int LONGEST_NAME = TRANSFER_ENCODING.length();

  /** Where in a line the next octet belongs. */
  private enum Position {
    LINE_START,
    NAME,
    VALUE,
    LINE_END,
    SECTION_END
  }

  private final StringBuilder name = new StringBuilder(LONGEST_NAME);
  private final StringBuilder value = new StringBuilder();
  private Position position = Position.LINE_START;
  private ResponseFraming framing = new ResponseFraming();
  private boolean framesNothing;
  private boolean collecting;

  /** Begins another section; a trailer section has a framing of its own, which counts nothing. */
  void restart(ResponseFraming sectionFraming) {
    framing = sectionFraming;
    position = Position.LINE_START;
  }

  /** Skips octets that can only belong to the name or the value of a field that frames nothing. */
  int skip(byte[] octets, int from, int to) {
    int at = from;
    if (position == Position.VALUE && !collecting) {
      while (at < to && Octets.isText(octets[at])) {
        at++;
      }
    } else if (position == Position.NAME && framesNothing) {
      while (at < to && Octets.isToken(octets[at])) {
        at++;
      }
    }
    return at;
  }

  /** Reads an octet; returns whether it was the last one of the section. */
  boolean accept(byte octet) {
    switch (position) {
      case LINE_START -> beginLine(octet);
      case NAME -> acceptName(octet);
      case VALUE -> acceptValue(octet);
      case LINE_END -> {
        ResponseFault.LINE_END.unless(octet == Octets.LF);
        position = Position.LINE_START;
      }
      default -> {
        ResponseFault.LINE_END.unless(octet == Octets.LF);
        return true;
      }
    }
    return false;
  }

  private void beginLine(byte octet) {
    if (octet == Octets.CR) {
      position = Position.SECTION_END;
      return;
    }
    ResponseFault.LINE_END.unless(octet != Octets.LF);
    ResponseFault.FIELD_NAME.unless(Octets.isToken(octet));
    name.setLength(0);
    // No field that frames a body begins with another letter.
    framesNothing = "CcTt".indexOf(octet) < 0;
    position = Position.NAME;
    acceptName(octet);
  }

  private void acceptName(byte octet) {
    if (octet == ':') {
      value.setLength(0);
      collecting = !framesNothing && (is(CONTENT_LENGTH) || is(TRANSFER_ENCODING));
      position = Position.VALUE;
      return;
    }
    ResponseFault.FIELD_NAME.unless(Octets.isToken(octet));
    if (name.length() == LONGEST_NAME) {
      framesNothing = true;
    } else if (!framesNothing) {
      name.append((char) octet);
    }
  }

  private void acceptValue(byte octet) {
    if (octet == Octets.CR) {
      position = Position.LINE_END;
      endValue();
      return;
    }
    ResponseFault.LINE_END.unless(octet != Octets.LF);
    ResponseFault.FIELD_VALUE.unless(Octets.isText(octet));
    if (collecting) {
      value.append((char) (octet & 0xff));
    }
  }

  private void endValue() {
    if (!collecting) {
      return;
    }
    String text = trimmed();
    if (is(CONTENT_LENGTH)) {
      framing.contentLength(text);
    } else {
      framing.transferEncoding(text);
    }
  }

  private boolean is(String field) {
    return name.length() == field.length() && field.equalsIgnoreCase(name.toString());
  }

  private String trimmed() {
    int from = 0;
    int to = value.length();
    while (from < to && Octets.isBlank((byte) value.charAt(from))) {
      from++;
    }
    while (from < to && Octets.isBlank((byte) value.charAt(to - 1))) {
      to--;
    }
    return value.substring(from, to);
  }
}
