package io.hawthornlb.app.settings;

import io.hawthornlb.core.config.ConfigSection;
import java.time.Duration;
import java.util.Optional;
import java.util.regex.Pattern;

/** Readers for kinds of values that occur in several sections. */
final class SettingValues {

  /** Message for a malformed name. */
  static final String NAME_EXPECTED =
      "expected a name of 1 to 63 lower-case letters, digits, dots and hyphens";

  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9.-]{0,62}");

  private SettingValues() {}

  static boolean isName(String text) {
    return NAME.matcher(text).matches();
  }

  static Optional<String> name(ConfigSection section, String key) {
    Optional<String> name = section.text(key);
    if (name.isPresent() && !isName(name.get())) {
      section.reject(key, NAME_EXPECTED);
      return Optional.empty();
    }
    return name;
  }

  static Optional<NetworkAddress> address(ConfigSection section, String key) {
    Optional<String> text = section.text(key);
    Optional<NetworkAddress> address = text.flatMap(NetworkAddress::parse);
    if (text.isPresent() && address.isEmpty()) {
      section.reject(key, NetworkAddress.EXPECTED);
    }
    return address;
  }

  static Optional<Duration> positiveDuration(ConfigSection section, String key) {
    Optional<Duration> duration = section.duration(key);
    if (duration.isPresent() && duration.get().isZero()) {
      section.reject(key, "must be longer than zero");
      return Optional.empty();
    }
    return duration;
  }

  static Optional<Integer> positiveSize(ConfigSection section, String key) {
    Optional<Integer> size = section.size(key);
    if (size.isPresent() && size.get() == 0) {
      section.reject(key, "must be larger than zero");
      return Optional.empty();
    }
    return size;
  }
}
