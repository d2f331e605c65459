package io.hawthornlb.core.config;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;

/** Names of enum constants in configuration files: lower case with hyphens. */
public final class EnumNames {

  private EnumNames() {}

  /** Returns the name of a constant in configuration files. */
  public static String name(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the constant with a name, or empty if there is none. */
  public static <E extends Enum<E>> Optional<E> find(Class<E> type, String name) {
    return Arrays.stream(type.getEnumConstants()).filter(e -> name(e).equals(name)).findFirst();
  }

  /** Returns the names of all constants, separated by commas. */
  public static String all(Class<? extends Enum<?>> type) {
    return Arrays.stream(type.getEnumConstants())
        .map(EnumNames::name)
        .collect(Collectors.joining(", "));
  }
}
