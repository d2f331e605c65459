package io.hawthornlb.http.support;

import io.hawthornlb.http.ResponseFault;

/** The fields of a head that decide where its body ends. */
final class ResponseFraming {

  /** Length of a body whose end is that of the connection. */
  static final long UNTIL_CLOSE = -1;

  private static final String CHUNKED = "chunked";
  private static final int MAX_LENGTH_DIGITS = 18;

  private long length = UNTIL_CLOSE;
  private boolean chunked;

  /** Adds the value of a Content-Length field. */
  void contentLength(String value) {
    ResponseFault.LENGTH.unless(length == UNTIL_CLOSE && isNumber(value));
    length = Long.parseLong(value);
  }

  /** Adds the value of a Transfer-Encoding field; requests ask for no other coding than chunked. */
  void transferEncoding(String value) {
    ResponseFault.TRANSFER_CODING.unless(!chunked && value.equalsIgnoreCase(CHUNKED));
    chunked = true;
  }

  /** Checks that the fields leave no doubt about the length of the body. */
  void check(int minorVersion) {
    ResponseFault.TRANSFER_CODING.unless(!chunked || (minorVersion > 0 && length == UNTIL_CLOSE));
  }

  boolean chunked() {
    return chunked;
  }

  /** Returns the length of a body that does not come in chunks. */
  long length() {
    return length;
  }

  private static boolean isNumber(String value) {
    if (value.isEmpty() || value.length() > MAX_LENGTH_DIGITS) {
      return false;
    }
    for (int i = 0; i < value.length(); i++) {
      if (!Octets.isDigit((byte) value.charAt(i))) {
        return false;
      }
    }
    return true;
  }
}
