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
  private boolean nameTooLong;
  private boolean collecting;

  /** Begins another section; a trailer section has a framing of its own, which counts nothing. */
  void restart(ResponseFraming sectionFraming) {
    framing = sectionFraming;
    position = Position.LINE_START;
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
    nameTooLong = false;
    position = Position.NAME;
    acceptName(octet);
  }

  private void acceptName(byte octet) {
    if (octet == ':') {
      value.setLength(0);
      collecting = !nameTooLong && (is(CONTENT_LENGTH) || is(TRANSFER_ENCODING));
      position = Position.VALUE;
      return;
    }
    ResponseFault.FIELD_NAME.unless(Octets.isToken(octet));
    if (name.length() < LONGEST_NAME) {
      name.append((char) octet);
    } else {
      nameTooLong = true;
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
