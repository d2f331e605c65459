package io.hawthornlb.core.config;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Text format of durations: a whole number directly followed by a unit, which is ms, s, m, h or d.
 */
public final class DurationFormat {

  /** Message for a value that is not in this format. */
  public static final String EXPECTED =
      "expected a duration with its unit, such as 1600ms, 5s, 2m, 24h or 7d";

  private static final Pattern PATTERN = Pattern.compile("(\\d{1,12})(ms|s|m|h|d)");

  private static final Map<String, Duration> UNITS =
      Map.of(
          "ms", Duration.ofMillis(1),
          "s", Duration.ofSeconds(1),
          "m", Duration.ofMinutes(1),
          "h", Duration.ofHours(1),
          "d", Duration.ofDays(1));

  private DurationFormat() {}

  /** Returns the duration, or empty if the text is not in this format. */
  public static Optional<Duration> parse(String text) {
    Matcher matcher = PATTERN.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    Duration unit = UNITS.get(matcher.group(2));
    return Optional.of(unit.multipliedBy(Long.parseLong(matcher.group(1))));
  }
}
