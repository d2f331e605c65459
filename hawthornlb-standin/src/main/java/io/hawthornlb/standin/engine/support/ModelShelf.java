package io.hawthornlb.standin.engine.support;

import io.hawthornlb.standin.engine.EngineState;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;

/** What an engine has loaded and is loading. Safe for use by many threads. */
final class ModelShelf {

  private static final String MIXED = "mixed";

  private final TreeMap<String, String> models = new TreeMap<>();
  private final TreeMap<String, String> adapters = new TreeMap<>();
  private final TreeSet<String> loading = new TreeSet<>();
  private String role = MIXED;
  private long lastFencing = -1;

  ModelShelf(Collection<String> names) {
    names.forEach(this::addNamed);
  }

  /** Takes the fencing number of an order, and returns whether it is not older than the last. */
  synchronized boolean fence(long fencing) {
    boolean current = fencing >= lastFencing;
    lastFencing = Math.max(lastFencing, fencing);
    return current;
  }

  synchronized boolean has(String name) {
    return models.containsKey(name) || adapters.containsKey(name);
  }

  /** Returns false when this is on its way already. */
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

  private static List<String> names(TreeMap<String, String> shelf) {
    return shelf.entrySet().stream().map(e -> named(e.getKey(), e.getValue())).toList();
  }

  private static String named(String name, String version) {
    return version.isEmpty() ? name : name + "@" + version;
  }
}
