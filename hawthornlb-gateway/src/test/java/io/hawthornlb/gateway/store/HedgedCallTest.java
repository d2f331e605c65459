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

  private static final Duration PATIENCE = Duration.ofMillis(300);

  private final VirtualLoop time = new VirtualLoop();
  private final List<CompletableFuture<String>> calls = new ArrayList<>();
  private final HedgedCall<String> hedged = new HedgedCall<>(this::call, time.loop());
  private final CompletableFuture<String> result = hedged.start(this::call).toCompletableFuture();

  /** Each call is paid for, and nearly all are answered in time. */
  @Test
  void makesNoSecondCallOnceTheFirstIsAnswered() {
    hedged.hurryAfter(PATIENCE);
    time.advance(PATIENCE.minusMillis(1));
    calls.get(0).complete("first");
    time.advance(PATIENCE);
    hedged.hurry();
    assertEquals("first", result.join());
    assertEquals(1, calls.size());
  }

  @Test
  void takesTheSecondAnswerWhereTheFirstIsOverdue() {
    hedged.hurryAfter(PATIENCE);
    time.advance(PATIENCE);
    calls.get(1).complete("second");
    time.advance(Duration.ofMillis(1));
    assertEquals("second", result.join());
  }

  /** A store that takes a second for each answer is never heard: its first answer was given up. */
  @Test
  void takesAnOverdueAnswerThatComesFirst() {
    hedged.hurryAfter(PATIENCE);
    time.advance(PATIENCE);
    calls.get(0).complete("first");
    time.advance(Duration.ofMillis(1));
    calls.get(1).complete("second");
    time.advance(Duration.ofMillis(1));
    assertEquals("first", result.join());
  }

  /** A slow store gets so many calls that it answers none of them any more. */
  @Test
  void makesNoThirdCall() {
    hedged.hurryAfter(PATIENCE);
    hedged.hurry();
    time.advance(PATIENCE.multipliedBy(10));
    hedged.hurry();
    assertEquals(2, calls.size());
  }

  @Test
  void failsOnceNoCallIsLeft() {
    hedged.hurry();
    calls.get(0).completeExceptionally(failure());
    time.advance(Duration.ofMillis(1));
    assertFalse(result.isDone());
    calls.get(1).completeExceptionally(failure());
    time.advance(Duration.ofMillis(1));
    assertTrue(result.isCompletedExceptionally());
  }

  @Test
  void makesNoSecondCallAfterTheFirstHasFailed() {
    hedged.hurryAfter(PATIENCE);
    calls.get(0).completeExceptionally(failure());
    time.advance(PATIENCE);
    assertTrue(result.isCompletedExceptionally());
    assertEquals(1, calls.size());
  }

  private CompletionStage<String> call() {
    CompletableFuture<String> call = new CompletableFuture<>();
    calls.add(call);
    return call;
  }

  private static StoreException failure() {
    return new StoreException(StoreException.Kind.NOT_DONE, "away");
  }
}
