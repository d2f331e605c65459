package io.hawthornlb.http.support;

import io.hawthornlb.http.ResponseFault;

/** Parses the line with the size of a chunk. */
final class ChunkLineParser {

  private static final int HEX_BITS = 4;

  /** Where in the line the next octet belongs. */
  private enum Position {
    LINE_START,
    SIZE,
    BEFORE_EXTENSION,
    EXTENSION,
    LINE_END
  }

  private Position position = Position.LINE_START;
  private long size;

  void restart() {
    position = Position.LINE_START;
    size = 0;
  }

  long size() {
    return size;
  }

  /** Reads an octet; returns whether it was the last one of the line. */
  boolean accept(byte octet) {
    switch (position) {
      case LINE_START -> {
        acceptDigit(octet);
        position = Position.SIZE;
      }
      case SIZE, BEFORE_EXTENSION -> acceptAfterSize(octet);
      case EXTENSION -> acceptExtension(octet);
      default -> {
        ResponseFault.LINE_END.unless(octet == Octets.LF);
        return true;
      }
    }
    return false;
  }

  private void acceptDigit(byte octet) {
    int digit = Octets.hexDigit(octet);
    ResponseFault.CHUNK.unless(digit >= 0);
    size = (size << HEX_BITS) + digit;
    // The decoder counts in 32 bits.
    ResponseFault.CHUNK.unless(size <= Integer.MAX_VALUE);
  }

  private void acceptAfterSize(byte octet) {
    if (octet == Octets.CR) {
      // Some servers pad the size with blanks, which cannot be misread.
      position = Position.LINE_END;
    } else if (octet == ';') {
      position = Position.EXTENSION;
    } else if (Octets.isBlank(octet)) {
      position = Position.BEFORE_EXTENSION;
    } else {
      ResponseFault.CHUNK.unless(position == Position.SIZE);
      acceptDigit(octet);
    }
  }

  private void acceptExtension(byte octet) {
    if (octet == Octets.CR) {
      position = Position.LINE_END;
    } else {
      ResponseFault.CHUNK.unless(Octets.isText(octet));
    }
  }
}
