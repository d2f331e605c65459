package io.hawthornlb.core.config;

import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Text format of sizes: a whole number directly followed by a unit, which is B, KiB, MiB or GiB.
 */
public final class SizeFormat {

  /** Message for a value that is not in this format. */
  public static final String EXPECTED =
      "expected a size below 2GiB with its unit, such as 512B, 64KiB or 4MiB";

  private static final Pattern PATTERN = Pattern.compile("(\\d{1,10})(B|KiB|MiB|GiB)");

  private static final Map<String, Long> UNITS =
      Map.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20, "GiB", 1L << 30);

  private SizeFormat() {}

  /**
   * Returns the number of bytes, or empty if the text is not in this format or the size is 2 GiB or
   * more.
   */
  public static Optional<Integer> parse(String text) {
    Matcher matcher = PATTERN.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    long bytes = Long.parseLong(matcher.group(1)) * UNITS.get(matcher.group(2));
    return bytes > Integer.MAX_VALUE ? Optional.empty() : Optional.of((int) bytes);
  }
}
