package io.hawthornlb.net.codec;

import io.hawthornlb.core.util.Checks;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Maps the short type names on the wire to the types that they stand for.
 *
 * @param <T> the common type
 */
public final class TypeRegistry<T> {

  private final Map<String, Class<? extends T>> typesByName;
  private final Map<Class<?>, String> namesByType;

  private TypeRegistry(Map<String, Class<? extends T>> typesByName) {
    this.typesByName = Map.copyOf(typesByName);
    this.namesByType = new HashMap<>();
    this.typesByName.forEach((name, type) -> namesByType.put(type, name));
  }

  /** Starts an empty registry. */
  public static <T> Builder<T> builder() {
    return new Builder<>();
  }

  /** Returns the type of a name, or empty for one that this version does not know. */
  public Optional<Class<? extends T>> type(String name) {
    return Optional.ofNullable(typesByName.get(name));
  }

  /**
   * Returns the name of a type.
   *
   * @throws IllegalArgumentException if the type is not registered
   */
  public String name(Class<?> type) {
    String name = namesByType.get(type);
    Checks.isTrue(name != null, "type " + type.getName() + " is not registered; add it");
    return name;
  }

  /**
   * Collects the types of a registry.
   *
   * @param <T> the common type
   */
  public static final class Builder<T> {

    private final Map<String, Class<? extends T>> types = new HashMap<>();

    /** Adds a type; a name stands for one type only. */
    public Builder<T> register(String name, Class<? extends T> type) {
      Checks.isTrue(types.put(name, type) == null, "type name " + name + " is taken");
      return this;
    }

    /** Returns the registry. */
    public TypeRegistry<T> build() {
      return new TypeRegistry<>(types);
    }
  }
}
