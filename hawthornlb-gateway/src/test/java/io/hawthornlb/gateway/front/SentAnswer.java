package io.hawthornlb.gateway.front;

import java.util.Locale;

/**
 * An answer that an endpoint of a test gave to one run, and the bytes of it or of a copy.
 *
 * @param signature differs from answer to answer
 */
record SentAnswer(
    String id, String method, String path, int status, String signature, String body) {

  /** Which request the bytes name. */
  enum Naming {
    OWN,
    OTHER,
    NONE
  }

  /** How the bytes show where the body ends; the last three are wrong. */
  enum Framing {
    LENGTH,
    CHUNKS,
    NEITHER,
    LONG_LENGTH,
    SHORT_LENGTH,
    ENDLESS_CHUNKS
  }

  /** Returns the bytes as text. */
  String text(Naming naming, Framing framing) {
    String named =
        switch (naming) {
          case OWN -> "Test-Id: " + id + "\r\n";
          case OTHER -> "Test-Id: nobody\r\n";
          case NONE -> "";
        };
    String chunk = Integer.toHexString(body.length()) + "\r\n" + body + "\r\n";
    String head = "HTTP/1.1 " + status + " Any\r\n" + named + "Test-Signature: " + signature;
    String bodyless = method.equals("HEAD") ? "" : body;
    return head
        + switch (framing) {
          case LENGTH -> length(body.length()) + bodyless;
          case LONG_LENGTH -> length(body.length() + 40) + bodyless;
          case SHORT_LENGTH -> length(body.length() / 2) + bodyless;
          case NEITHER -> "\r\n\r\n" + bodyless;
          case CHUNKS, ENDLESS_CHUNKS ->
              "\r\nTransfer-Encoding: chunked\r\n\r\n"
                  + (bodyless.isEmpty() ? "" : chunk)
                  + (bodyless.isEmpty() || framing == Framing.ENDLESS_CHUNKS ? "" : "0\r\n\r\n");
        };
  }

  /** Returns whether a caller's answer is this one, so that it may have it. */
  boolean matches(GatewayFixture.Answer got, String toMethod, String toPath) {
    boolean success = got.status() / 100 == 2;
    return path.equals(toPath)
        && method.equals(toMethod)
        && got.status() == status
        && (!success || !isWhole(got) || got.body().equals(method.equals("HEAD") ? "" : body));
  }

  /** Returns whether a caller takes an answer for a whole one. */
  private static boolean isWhole(GatewayFixture.Answer got) {
    String[] length = got.head().toLowerCase(Locale.ROOT).split("content-length: ");
    boolean tooShort =
        length.length > 1
            && Integer.parseInt(length[1].split("\r\n")[0].trim()) > got.body().length();
    return got.whole() && !tooShort;
  }

  private static String length(int bytes) {
    return "\r\nContent-Length: " + bytes + "\r\n\r\n";
  }
}
