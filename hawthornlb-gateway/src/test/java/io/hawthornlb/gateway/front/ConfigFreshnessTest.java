package io.hawthornlb.gateway.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.VirtualLoop;
import io.hawthornlb.gateway.store.LogFreshness;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Test;

class ConfigFreshnessTest {

  private static final Duration CHANGE_TIME = Duration.ofSeconds(2);

  private final VirtualLoop time = new VirtualLoop();
  private final Proof proof = new Proof(time.instant());
  private final ConfigFreshness check = new ConfigFreshness(proof, CHANGE_TIME, time.loop());
  private int completed;

  /** A proof whose moment the test sets. */
  private static final class Proof implements LogFreshness {

    private Instant freshAsOf;
    private CompletableFuture<Void> next = new CompletableFuture<>();
    private int refreshes;

    private Proof(Instant freshAsOf) {
      this.freshAsOf = freshAsOf;
    }

    private void advanceTo(Instant at) {
      freshAsOf = at;
      CompletableFuture<Void> ended = next;
      next = new CompletableFuture<>();
      ended.complete(null);
    }

    @Override
    public Instant freshAsOf() {
      return freshAsOf;
    }

    @Override
    public CompletionStage<Void> refresh() {
      refreshes++;
      return next;
    }
  }

  /**
   * A change must be in force for a request that arrives the change time after it. Changes made
   * later may still be missing.
   */
  @Test
  void isCurrentWhileNoEffectiveChangeCanBeMissing() {
    time.advance(CHANGE_TIME.dividedBy(2));
    assertTrue(check.isCurrentAt(time.instant()));
    time.advance(CHANGE_TIME.dividedBy(2));
    assertFalse(check.isCurrentAt(time.instant()));
  }

  @Test
  void waitsForASufficientlyRecentProof() {
    Instant old = time.instant();
    time.advance(CHANGE_TIME);
    check.refreshFor(time.instant(), () -> completed++);
    proof.advanceTo(old);
    assertEquals(0, completed);
    proof.advanceTo(time.instant());
    assertEquals(1, completed);
    time.advance(ConfigFreshness.MAX_WAIT);
    assertEquals(1, completed);
  }

  /**
   * Guards against a request that waits for a store that does not answer, so that its caller learns
   * too late when to retry.
   */
  @Test
  void stopsWaitingAfterTheMaximumWait() {
    time.advance(CHANGE_TIME);
    check.refreshFor(time.instant(), () -> completed++);
    time.advance(ConfigFreshness.MAX_WAIT);
    assertEquals(1, completed);
    proof.advanceTo(time.instant());
    assertEquals(1, completed);
  }

  @Test
  void stopsWaitingWhenTheReadFails() {
    time.advance(CHANGE_TIME);
    check.refreshFor(time.instant(), () -> completed++);
    proof.next.completeExceptionally(new IllegalStateException("away"));
    assertEquals(1, completed);
  }

  /**
   * Guards against thousands of requests without a route that are all kept waiting while the store
   * does not answer.
   */
  @Test
  void limitsTheNumberOfWaitingRequests() {
    time.advance(CHANGE_TIME);
    for (int i = 0; i < ConfigFreshness.MAX_WAITING + 10; i++) {
      check.refreshFor(time.instant(), () -> completed++);
    }
    assertEquals(10, completed);
    assertEquals(ConfigFreshness.MAX_WAITING, proof.refreshes);
    time.advance(ConfigFreshness.MAX_WAIT);
    assertEquals(ConfigFreshness.MAX_WAITING + 10, completed);
    check.refreshFor(time.instant(), () -> completed++);
    assertEquals(ConfigFreshness.MAX_WAITING + 10, completed);
  }
}
