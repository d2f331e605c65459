package io.hawthornlb.net.codec;

import io.hawthornlb.core.util.Checks;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Maps the short type names used on the wire to the Java types that they identify.
 *
 * @param <T> the common supertype of the registered types
 */
public final class TypeRegistry<T> {

  private final Map<String, Class<? extends T>> typesByName;
  private final Map<Class<?>, String> namesByType;

  private TypeRegistry(Map<String, Class<? extends T>> typesByName) {
    this.typesByName = Map.copyOf(typesByName);
    this.namesByType = new HashMap<>();
    this.typesByName.forEach((name, type) -> namesByType.put(type, name));
  }

  /** Returns a builder without any types. */
  public static <T> Builder<T> builder() {
    return new Builder<>();
  }

  /** Returns the type registered under a name, or empty if this version does not know the name. */
  public Optional<Class<? extends T>> type(String name) {
    return Optional.ofNullable(typesByName.get(name));
  }

  /**
   * Returns the name under which a type is registered.
   *
   * @throws IllegalArgumentException if the type is not registered
   */
  public String name(Class<?> type) {
    String name = namesByType.get(type);
    Checks.isTrue(
        name != null, "type " + type.getName() + " is not registered; add it to the type registry");
    return name;
  }

  /**
   * Builds a {@link TypeRegistry}.
   *
   * @param <T> the common supertype of the registered types
   */
  public static final class Builder<T> {

    private final Map<String, Class<? extends T>> types = new HashMap<>();

    /**
     * Registers a type under a name.
     *
     * @throws IllegalArgumentException if the name is already registered
     */
    public Builder<T> register(String name, Class<? extends T> type) {
      Checks.isTrue(types.put(name, type) == null, "type name " + name + " is already registered");
      return this;
    }

    /** Builds a registry of the types registered so far. */
    public TypeRegistry<T> build() {
      return new TypeRegistry<>(types);
    }
  }
}
