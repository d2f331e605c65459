package io.hawthornlb.standin.engine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * A bounded cache of prompt prefixes. Tokens of a cached prefix need no prefill.
 *
 * <p>Not thread-safe: one thread makes all calls.
 */
public interface PrefixCache {

  /**
   * Returns the number of tokens in the longest cached prefix of a prompt, or 0 if none is cached.
   * Marks all cached prefixes of the prompt as recently used.
   */
  int lookup(Prompt prompt);

  /**
   * Stores the prefixes of a prompt that has been prefilled, and evicts the least recently used
   * prefixes if the cache exceeds its capacity.
   */
  void store(Prompt prompt);

  /** Removes all prefixes; the engine does so when it loads another model. */
  void clear();

  /** Receives the changes of a cache. */
  interface Listener {

    /** Handles a change; {@code stored} is false for an eviction. Changes arrive in order. */
    void changed(String prefixHash, boolean stored);
  }

  /** A cache that stores nothing. */
  PrefixCache NONE =
      new PrefixCache() {
        @Override
        public int lookup(Prompt prompt) {
          return 0;
        }

        @Override
        public void store(Prompt prompt) {}

        @Override
        public void clear() {}
      };

  /** Returns the prefixes of a prompt, longest first. */
  static List<Prompt.Prefix> longestFirst(Prompt prompt) {
    List<Prompt.Prefix> reversed = new ArrayList<>(prompt.prefixes());
    Collections.reverse(reversed);
    return reversed;
  }
}
