package io.hawthornlb.http.support;

/** Classes of octets in the grammar of HTTP. */
final class Octets {

  static final byte HT = '\t';
  static final byte LF = '\n';
  static final byte CR = '\r';
  static final byte SP = ' ';

  private static final int COUNT = 256;
  private static final int DEL = 0x7f;
  private static final int HEX_RADIX = 16;
  private static final boolean[] TEXT = new boolean[COUNT];

  static {
    for (int octet = 0; octet < COUNT; octet++) {
      TEXT[octet] = octet == HT || octet >= SP && octet != DEL;
    }
  }

  private Octets() {}

  /** Returns whether an octet may be part of a value, a reason phrase or a chunk extension. */
  static boolean isText(byte octet) {
    return TEXT[octet & 0xff];
  }

  static boolean isBlank(byte octet) {
    return octet == SP || octet == HT;
  }

  static boolean isDigit(byte octet) {
    return octet >= '0' && octet <= '9';
  }

  /** Returns the value of a hexadecimal digit; negative if the octet is none. */
  static int hexDigit(byte octet) {
    return octet < 0 ? -1 : Character.digit(octet, HEX_RADIX);
  }
}
