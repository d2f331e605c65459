package io.hawthornlb.gateway.decode;

import java.util.function.IntPredicate;

/**
 * Validates strings that become part of an HTTP request.
 *
 * <p>A line break in a path or header value could inject a second request that no caller sent. Such
 * a string is unreadable.
 */
public final class HttpText {

  private static final String TOKEN_CHARACTERS = "!#$%&'*+-.^_`|~";
  private static final int DELETE = 0x7f;

  /**
   * Header values are sent as bytes; a character above this one would be sent as a different
   * character.
   */
  private static final int MAX_CHARACTER = 0xff;

  private HttpText() {}

  /**
   * Returns a string that starts with a slash and contains only visible ASCII characters.
   *
   * @throws UnreadableException if the string is no such path
   */
  public static String path(String place, String text) {
    boolean path = text.startsWith("/") && all(text, each -> each > ' ' && each < DELETE);
    return checked(path, place, "not a path", text);
  }

  /**
   * Returns a string that is a valid header name or HTTP method.
   *
   * @throws UnreadableException if the string is not valid
   */
  public static String headerName(String place, String text) {
    boolean name = !text.isEmpty() && all(text, HttpText::isTokenCharacter);
    return checked(name, place, "not a name", text);
  }

  /**
   * Returns a string that is a valid header value.
   *
   * @throws UnreadableException if the string is not valid
   */
  public static String headerValue(String place, String text) {
    boolean validStart = text.isEmpty() || text.charAt(0) > ' ';
    boolean value =
        validStart
            && all(
                text,
                each -> each == '\t' || (each >= ' ' && each != DELETE && each <= MAX_CHARACTER));
    return checked(value, place, "not a value of a header", text);
  }

  /**
   * Returns an id that may be part of a record's key: visible ASCII characters without a slash.
   *
   * @throws UnreadableException if the string is no such id
   */
  public static String id(String place, String text, int maxLength) {
    boolean id =
        !text.isEmpty()
            && text.length() <= maxLength
            && all(text, each -> each > ' ' && each < DELETE && each != '/');
    return checked(id, place, "not an id of up to " + maxLength + " characters", text);
  }

  private static boolean isTokenCharacter(int each) {
    boolean letter = (each >= 'a' && each <= 'z') || (each >= 'A' && each <= 'Z');
    return letter || (each >= '0' && each <= '9') || TOKEN_CHARACTERS.indexOf(each) >= 0;
  }

  private static boolean all(String text, IntPredicate valid) {
    return text.chars().allMatch(valid);
  }

  private static String checked(boolean valid, String place, String reason, String text) {
    if (!valid) {
      throw new UnreadableException(place, reason);
    }
    return text;
  }
}
