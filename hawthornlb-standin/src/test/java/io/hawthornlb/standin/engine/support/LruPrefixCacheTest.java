package io.hawthornlb.standin.engine.support;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hawthornlb.standin.engine.ChatMessage;
import io.hawthornlb.standin.engine.Prompt;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class LruPrefixCacheTest {

  private final List<String> events = new ArrayList<>();
  private final LruPrefixCache cache =
      new LruPrefixCache(25, (hash, stored) -> events.add((stored ? "+" : "-") + hash));

  /** Returns a prompt with two messages of ten tokens each before the last message. */
  private static Prompt prompt(String first, String second) {
    return Prompt.of(
        List.of(
            new ChatMessage("system", first.repeat(36)),
            new ChatMessage("user", second.repeat(36)),
            new ChatMessage("user", "question")));
  }

  @Test
  void findsTheLongestPrefixThatIsStored() {
    cache.store(prompt("a", "b"));

    assertEquals(20, cache.lookup(prompt("a", "b")));
    assertEquals(10, cache.lookup(prompt("a", "c")));
    assertEquals(0, cache.lookup(prompt("c", "b")));
  }

  @Test
  void longPrefixesAreEvictedBeforeTheShorterOnesTheyExtend() {
    Prompt old = prompt("a", "b");
    cache.store(old);
    cache.store(prompt("a", "c"));

    assertEquals("-" + old.prefixes().get(1).hash(), events.get(events.size() - 1));
    assertEquals(20, cache.lookup(prompt("a", "c")));
    assertEquals(10, cache.lookup(old));
  }

  @Test
  void clearRemovesAllPrefixes() {
    cache.store(prompt("a", "b"));
    cache.clear();

    assertEquals(0, cache.lookup(prompt("a", "b")));
    assertEquals(4, events.size());
  }
}
