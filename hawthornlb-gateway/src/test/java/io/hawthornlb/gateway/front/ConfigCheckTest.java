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

class ConfigCheckTest {

  private static final Duration CHANGE_TIME = Duration.ofSeconds(2);

  private final VirtualLoop time = new VirtualLoop();
  private final Proof proof = new Proof(time.instant());
  private final ConfigCheck check = new ConfigCheck(proof, CHANGE_TIME, time.loop());
  private int settled;

  /** Proof that the test renews. */
  private static final class Proof implements LogFreshness {

    private Instant freshAsOf;
    private CompletableFuture<Void> next = new CompletableFuture<>();
    private int refreshes;

    private Proof(Instant freshAsOf) {
      this.freshAsOf = freshAsOf;
    }

    private void renewed(Instant at) {
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

  /** A change made this long before a request is to be in force for it; a later one need not be. */
  @Test
  void holdsWhileNoChangeCanBeMissingThatIsToBeInForce() {
    time.advance(CHANGE_TIME.dividedBy(2));
    assertTrue(check.holdsAt(time.instant()));
    time.advance(CHANGE_TIME.dividedBy(2));
    assertFalse(check.holdsAt(time.instant()));
  }

  @Test
  void waitsForOneProofThatIsYoungEnough() {
    Instant old = time.instant();
    time.advance(CHANGE_TIME);
    check.renew(time.instant(), () -> settled++);
    proof.renewed(old);
    assertEquals(0, settled);
    proof.renewed(time.instant());
    assertEquals(1, settled);
    time.advance(ConfigCheck.LONGEST_WAIT);
    assertEquals(1, settled);
  }

  /** A caller waits in vain for a store that is silent, and learns late that it may come again. */
  @Test
  void waitsNoLongerThanAnAnswerTakes() {
    time.advance(CHANGE_TIME);
    check.renew(time.instant(), () -> settled++);
    time.advance(ConfigCheck.LONGEST_WAIT);
    assertEquals(1, settled);
    proof.renewed(time.instant());
    assertEquals(1, settled);
  }

  @Test
  void waitsNoLongerThanUntilTheStoreIsLost() {
    time.advance(CHANGE_TIME);
    check.renew(time.instant(), () -> settled++);
    proof.next.completeExceptionally(new IllegalStateException("away"));
    assertEquals(1, settled);
  }

  /** Requests without a route come in thousands while the store is silent, and all are kept. */
  @Test
  void letsFewRequestsWait() {
    time.advance(CHANGE_TIME);
    for (int i = 0; i < ConfigCheck.MAX_WAITING + 10; i++) {
      check.renew(time.instant(), () -> settled++);
    }
    assertEquals(10, settled);
    assertEquals(ConfigCheck.MAX_WAITING, proof.refreshes);
    time.advance(ConfigCheck.LONGEST_WAIT);
    assertEquals(ConfigCheck.MAX_WAITING + 10, settled);
    check.renew(time.instant(), () -> settled++);
    assertEquals(ConfigCheck.MAX_WAITING + 10, settled);
  }
}
