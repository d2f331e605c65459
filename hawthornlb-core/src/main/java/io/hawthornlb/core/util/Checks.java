package io.hawthornlb.core.util;

import java.util.Collection;

/**
 * Argument checks that throw {@link IllegalArgumentException} with a message about the argument.
 */
public final class Checks {

  private Checks() {}

  /**
   * Returns {@code text} if it is not blank.
   *
   * @throws IllegalArgumentException if it is blank
   */
  public static String hasText(String text, String name) {
    if (text == null || text.isBlank()) {
      throw new IllegalArgumentException(name + " must not be blank");
    }
    return text;
  }

  /**
   * Returns {@code value} if it is zero or more.
   *
   * @throws IllegalArgumentException if it is negative
   */
  public static long notNegative(long value, String name) {
    if (value < 0) {
      throw new IllegalArgumentException(name + " must not be negative, was " + value);
    }
    return value;
  }

  /**
   * Returns {@code values} if it is not empty.
   *
   * @throws IllegalArgumentException if it is empty
   */
  public static <T extends Collection<?>> T notEmpty(T values, String name) {
    isTrue(!values.isEmpty(), name + " must not be empty");
    return values;
  }

  /**
   * Checks a condition on an argument.
   *
   * @throws IllegalArgumentException with {@code message} if the condition is false
   */
  public static void isTrue(boolean condition, String message) {
    if (!condition) {
      throw new IllegalArgumentException(message);
    }
  }
}
