package io.hawthornlb.standin.engine.support;

import io.hawthornlb.standin.engine.EngineState;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The models and adapters that an engine has loaded or is loading, its role, and the highest
 * fencing number that it has received. Thread-safe.
 */
final class LoadedModels {

  private static final String DEFAULT_ROLE = "mixed";

  private final TreeMap<String, String> models = new TreeMap<>();
  private final TreeMap<String, String> adapters = new TreeMap<>();
  private final TreeSet<String> loading = new TreeSet<>();
  private String role = DEFAULT_ROLE;
  private long lastFencing = -1;

  LoadedModels(Collection<String> names) {
    names.forEach(this::addNamed);
  }

  /**
   * Records the fencing number of an order and returns whether the number is at least as high as
   * all numbers recorded before.
   */
  synchronized boolean recordFencing(long fencing) {
    boolean current = fencing >= lastFencing;
    lastFencing = Math.max(lastFencing, fencing);
    return current;
  }

  synchronized boolean has(String name) {
    return models.containsKey(name) || adapters.containsKey(name);
  }

  /** Marks a version as being loaded; returns false if it was being loaded already. */
  synchronized boolean startLoading(String name, String version) {
    return loading.add(named(name, version));
  }

  synchronized void loaded(String name, String version, boolean adapter) {
    loading.remove(named(name, version));
    (adapter ? adapters : models).put(name, version);
  }

  synchronized void unload(String name) {
    models.remove(name);
    adapters.remove(name);
  }

  synchronized void role(String value) {
    role = value;
  }

  synchronized EngineState state() {
    return new EngineState(names(models), names(adapters), role, lastFencing, List.copyOf(loading));
  }

  private void addNamed(String named) {
    int at = named.indexOf('@');
    String name = at < 0 ? named : named.substring(0, at);
    models.put(name, at < 0 ? "" : named.substring(at + 1));
  }

  private static List<String> names(TreeMap<String, String> versions) {
    return versions.entrySet().stream().map(e -> named(e.getKey(), e.getValue())).toList();
  }

  private static String named(String name, String version) {
    return version.isEmpty() ? name : name + "@" + version;
  }
}
