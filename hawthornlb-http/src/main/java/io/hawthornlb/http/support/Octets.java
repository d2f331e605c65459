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
  private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";
  private static final boolean[] TOKEN = new boolean[COUNT];
  private static final boolean[] TEXT = new boolean[COUNT];

  static {
    for (int octet = 0; octet < COUNT; octet++) {
      boolean letterOrDigit =
          octet >= '0' && octet <= '9'
              || octet >= 'A' && octet <= 'Z'
              || octet >= 'a' && octet <= 'z';
      TOKEN[octet] = letterOrDigit || TOKEN_PUNCTUATION.indexOf(octet) >= 0;
      TEXT[octet] = octet == HT || octet >= SP && octet != DEL;
    }
  }

  private Octets() {}

  /** Returns whether an octet may be part of the name of a field. */
  static boolean isToken(byte octet) {
    return TOKEN[octet & 0xff];
  }

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
