package io.hawthornlb.standin.engine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** The bounded memory of prompt prefixes that need no prefill. Confined to one thread. */
public interface PrefixCache {

  /** Returns how many tokens of the longest cached prefix a prompt may skip, and marks its use. */
  int lookup(Prompt prompt);

  /** Stores the prefixes of a prompt that has been prefilled; the least recently used go. */
  void store(Prompt prompt);

  /** Forgets all prefixes, as loading another model does. */
  void clear();

  /** Learns what is stored and what goes. */
  interface Listener {

    /** Called for each change, in order; {@code stored} is false for an eviction. */
    void changed(String prefixHash, boolean stored);
  }

  /** Caches nothing. */
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

  /** Returns the hashes of the prefixes of a prompt, longest first. */
  static List<Prompt.Prefix> longestFirst(Prompt prompt) {
    List<Prompt.Prefix> reversed = new ArrayList<>(prompt.prefixes());
    Collections.reverse(reversed);
    return reversed;
  }
}
