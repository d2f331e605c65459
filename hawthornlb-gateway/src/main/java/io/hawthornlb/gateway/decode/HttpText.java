package io.hawthornlb.gateway.decode;

import java.util.function.IntPredicate;

/**
 * Checks texts that become part of a request.
 *
 * <p>Failure: a path, or a header's value, holds a line break. It shows as a second request that an
 * endpoint runs and that no caller sent. Guard: such a text is unreadable.
 */
public final class HttpText {

  private static final String TOKEN_SIGNS = "!#$%&'*+-.^_`|~";
  private static final int DELETE = 0x7f;

  /** Headers are bytes; a sign beyond would be sent as another one. */
  private static final int MOST_SIGN = 0xff;

  private HttpText() {}

  /**
   * Returns a text that begins with a slash and holds neither blanks nor signs beyond ASCII.
   *
   * @throws UnreadableException if it is none
   */
  public static String path(String place, String text) {
    boolean path = text.startsWith("/") && all(text, each -> each > ' ' && each < DELETE);
    return checked(path, place, "not a path", text);
  }

  /**
   * Returns a text that may be the name of a header, or a method.
   *
   * @throws UnreadableException if it may not
   */
  public static String headerName(String place, String text) {
    boolean name = !text.isEmpty() && all(text, HttpText::inToken);
    return checked(name, place, "not a name", text);
  }

  /**
   * Returns a text that may be the value of a header.
   *
   * @throws UnreadableException if it may not
   */
  public static String headerValue(String place, String text) {
    boolean begun = text.isEmpty() || text.charAt(0) > ' ';
    boolean value =
        begun
            && all(
                text, each -> each == '\t' || (each >= ' ' && each != DELETE && each <= MOST_SIGN));
    return checked(value, place, "not a value of a header", text);
  }

  /**
   * Returns an id that may stand in the key of a record: some visible ASCII without a slash.
   *
   * @throws UnreadableException if it may not
   */
  public static String id(String place, String text, int mostLength) {
    boolean id =
        !text.isEmpty()
            && text.length() <= mostLength
            && all(text, each -> each > ' ' && each < DELETE && each != '/');
    return checked(id, place, "not an id of up to " + mostLength + " signs", text);
  }

  private static boolean inToken(int each) {
    boolean letter = (each >= 'a' && each <= 'z') || (each >= 'A' && each <= 'Z');
    return letter || (each >= '0' && each <= '9') || TOKEN_SIGNS.indexOf(each) >= 0;
  }

  private static boolean all(String text, IntPredicate fits) {
    return text.chars().allMatch(fits);
  }

  private static String checked(boolean fits, String place, String reason, String text) {
    if (!fits) {
      throw new UnreadableException(place, reason);
    }
    return text;
  }
}
