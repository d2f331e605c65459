package io.hawthornlb.standin.engine.support;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.standin.engine.ChatMessage;
import io.hawthornlb.standin.engine.Prompt;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

class StreamStoreTest {

  private static final List<ChatMessage> CHAT = List.of(new ChatMessage("user", "hello"));

  private final AtomicReference<Instant> now = new AtomicReference<>(Instant.EPOCH);
  private final StreamStore store = new StreamStore(Duration.ofSeconds(10), 2, now::get);

  private TokenStream cancelled(String id) {
    TokenStream stream = new TokenStream(id, "m", CHAT, Prompt.of(CHAT), 9);
    assertTrue(store.add(stream));
    stream.cancel();
    store.ended(stream);
    return stream;
  }

  private boolean has(String id) {
    return store.find(id).isPresent();
  }

  @Test
  void endedStreamsAreRemovedAfterATimeAndBeyondACount() {
    cancelled("a");
    cancelled("b");
    cancelled("c");
    assertFalse(has("a"));
    assertTrue(has("b"));

    now.set(Instant.EPOCH.plusSeconds(11));
    assertFalse(has("b"));
  }

  /**
   * Guards against the removal of a running stream. The retention time of a preempted stream starts
   * at its cancellation. If the store ignores that the stream was resumed, it removes the stream at
   * the end of this time although the stream is running, and the next request for it gets 404.
   */
  @Test
  void retentionTimeRestartsWhenAResumedStreamEnds() {
    TokenStream stream = cancelled("a");
    now.set(Instant.EPOCH.plusSeconds(9));
    assertTrue(stream.resume());
    now.set(Instant.EPOCH.plusSeconds(12));
    assertTrue(has("a"));

    stream.cancel();
    store.ended(stream);
    now.set(Instant.EPOCH.plusSeconds(20));
    assertTrue(has("a"));
    now.set(Instant.EPOCH.plusSeconds(23));
    assertFalse(has("a"));
  }

  @Test
  void onlyEndedStreamsAreReplaced() {
    cancelled("a");
    assertTrue(store.add(new TokenStream("a", "m", CHAT, Prompt.of(CHAT), 9)));
    assertFalse(store.add(new TokenStream("a", "m", CHAT, Prompt.of(CHAT), 9)));
  }
}
