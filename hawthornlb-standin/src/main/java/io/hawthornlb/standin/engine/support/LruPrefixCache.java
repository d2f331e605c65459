package io.hawthornlb.standin.engine.support;

import io.hawthornlb.standin.engine.PrefixCache;
import io.hawthornlb.standin.engine.Prompt;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A {@link PrefixCache} that evicts the least recently used prefixes when their tokens exceed the
 * limit.
 *
 * <p>A prefix counts only the tokens that it adds to the next shorter prefix of the same prompt. An
 * access touches longer prefixes before the shorter prefixes that they extend, so the longer
 * prefixes are evicted first.
 */
public final class LruPrefixCache implements PrefixCache {

  private static final int INITIAL_CAPACITY = 256;
  private static final float LOAD_FACTOR = 0.75f;

  private final int maxTokens;
  private final Listener listener;
  private final Map<String, Integer> costs =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);
  private long tokens;

  /** Creates an empty cache. */
  public LruPrefixCache(int maxTokens, Listener listener) {
    this.maxTokens = maxTokens;
    this.listener = listener;
  }

  @Override
  public int lookup(Prompt prompt) {
    int found = 0;
    for (Prompt.Prefix prefix : PrefixCache.longestFirst(prompt)) {
      boolean cached = costs.get(prefix.hash()) != null;
      if (cached && found == 0) {
        found = prefix.tokens();
      }
    }
    return found;
  }

  @Override
  public void store(Prompt prompt) {
    int index = prompt.prefixes().size();
    for (Prompt.Prefix prefix : PrefixCache.longestFirst(prompt)) {
      index--;
      int before = index == 0 ? 0 : prompt.prefixes().get(index - 1).tokens();
      add(prefix.hash(), prefix.tokens() - before);
    }
    evict();
  }

  @Override
  public void clear() {
    for (String hash : costs.keySet()) {
      listener.changed(hash, false);
    }
    costs.clear();
    tokens = 0;
  }

  private void add(String hash, int cost) {
    if (costs.get(hash) != null) {
      return;
    }
    costs.put(hash, cost);
    tokens += cost;
    listener.changed(hash, true);
  }

  private void evict() {
    Iterator<Map.Entry<String, Integer>> oldest = costs.entrySet().iterator();
    while (tokens > maxTokens && oldest.hasNext()) {
      Map.Entry<String, Integer> entry = oldest.next();
      oldest.remove();
      tokens -= entry.getValue();
      listener.changed(entry.getKey(), false);
    }
  }
}
