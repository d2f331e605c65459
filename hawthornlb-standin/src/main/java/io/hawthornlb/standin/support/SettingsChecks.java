package io.hawthornlb.standin.support;

/**
 * Checks for settings. A failed check throws an {@link IllegalArgumentException} whose message
 * names the key.
 */
public final class SettingsChecks {

  private SettingsChecks() {}

  /** Checks that a text is neither null nor blank. */
  public static void hasText(String text, String key) {
    isTrue(text != null && !text.isBlank(), key + " must not be blank");
  }

  /** Checks that a number is above zero. */
  public static void positive(double value, String key) {
    isTrue(value > 0, key + " must be above 0, was " + value);
  }

  /** Checks that a number is zero or more. */
  public static void notNegative(double value, String key) {
    isTrue(value >= 0, key + " must not be negative, was " + value);
  }

  /** Checks that a condition holds. */
  public static void isTrue(boolean condition, String message) {
    if (!condition) {
      throw new IllegalArgumentException(message);
    }
  }
}
