package io.hawthornlb.gateway.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.VirtualLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Test;

class HedgedCallTest {

  private static final Duration DELAY = Duration.ofMillis(300);

  private final VirtualLoop time = new VirtualLoop();
  private final List<CompletableFuture<String>> calls = new ArrayList<>();
  private final HedgedCall<String> hedged = new HedgedCall<>(this::call, time.loop());
  private final CompletableFuture<String> result = hedged.start(this::call).toCompletableFuture();

  /**
   * Guards against needless second calls. Each call costs money, and nearly all calls get their
   * reply in time.
   */
  @Test
  void makesNoSecondCallOnceTheFirstHasAReply() {
    hedged.hedgeAfter(DELAY);
    time.advance(DELAY.minusMillis(1));
    calls.get(0).complete("first");
    time.advance(DELAY);
    hedged.hedgeNow();
    assertEquals("first", result.join());
    assertEquals(1, calls.size());
  }

  @Test
  void usesTheSecondReplyIfTheFirstIsOverdue() {
    hedged.hedgeAfter(DELAY);
    time.advance(DELAY);
    calls.get(1).complete("second");
    time.advance(Duration.ofMillis(1));
    assertEquals("second", result.join());
  }

  /**
   * Guards against ignoring a store that takes a second for each reply, because the first call was
   * aborted.
   */
  @Test
  void usesAnOverdueReplyThatArrivesFirst() {
    hedged.hedgeAfter(DELAY);
    time.advance(DELAY);
    calls.get(0).complete("first");
    time.advance(Duration.ofMillis(1));
    calls.get(1).complete("second");
    time.advance(Duration.ofMillis(1));
    assertEquals("first", result.join());
  }

  /** Guards against so many calls to a slow store that it replies to none of them. */
  @Test
  void makesNoThirdCall() {
    hedged.hedgeAfter(DELAY);
    hedged.hedgeNow();
    time.advance(DELAY.multipliedBy(10));
    hedged.hedgeNow();
    assertEquals(2, calls.size());
  }

  @Test
  void failsOnceAllCallsHaveFailed() {
    hedged.hedgeNow();
    calls.get(0).completeExceptionally(failure());
    time.advance(Duration.ofMillis(1));
    assertFalse(result.isDone());
    calls.get(1).completeExceptionally(failure());
    time.advance(Duration.ofMillis(1));
    assertTrue(result.isCompletedExceptionally());
  }

  @Test
  void makesNoSecondCallAfterTheFirstHasFailed() {
    hedged.hedgeAfter(DELAY);
    calls.get(0).completeExceptionally(failure());
    time.advance(DELAY);
    assertTrue(result.isCompletedExceptionally());
    assertEquals(1, calls.size());
  }

  private CompletionStage<String> call() {
    CompletableFuture<String> call = new CompletableFuture<>();
    calls.add(call);
    return call;
  }

  private static StoreException failure() {
    return new StoreException(StoreException.Kind.NOT_DONE, "unavailable");
  }
}
