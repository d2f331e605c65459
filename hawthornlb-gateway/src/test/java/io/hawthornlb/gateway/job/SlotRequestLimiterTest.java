package io.hawthornlb.gateway.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against late responses after an outage of a large fleet, although nothing fails any more.
 * All items of all jobs requested slots again and again, and the coordinator was busy refusing
 * them.
 */
class SlotRequestLimiterTest {

  private final SlotRequestLimiter limiter = new SlotRequestLimiter();
  private final List<Long> requested = new ArrayList<>();
  private boolean answersImmediately;

  private final class Item implements SlotRequestLimiter.Requester {

    private final long rank;

    private Item(long rank) {
      this.rank = rank;
    }

    @Override
    public long rank() {
      return rank;
    }

    @Override
    public void requestSlot() {
      requested.add(rank);
      if (answersImmediately) {
        limiter.leave();
      }
    }
  }

  @Test
  void sendsRequestsWithTheLowestRankFirst() {
    for (long rank = 100; rank > 0; rank--) {
      limiter.enter(new Item(rank));
    }
    assertEquals(SlotRequestLimiter.MAX_REQUESTS, requested.size());
    limiter.leave();
    limiter.leave();
    assertEquals(
        List.of(1L, 2L), requested.subList(SlotRequestLimiter.MAX_REQUESTS, requested.size()));
  }

  @Test
  void sendsAllRequestsThatAreAnsweredImmediately() {
    answersImmediately = true;
    for (long rank = 0; rank < 5_000; rank++) {
      limiter.enter(new Item(rank));
    }
    assertEquals(5_000, requested.size());
  }

  @Test
  void withdrawsAnItemWithoutAnOpenRequest() {
    for (long rank = 0; rank < SlotRequestLimiter.MAX_REQUESTS; rank++) {
      limiter.enter(new Item(rank));
    }
    Item withdrawn = new Item(50);
    limiter.enter(withdrawn);
    limiter.enter(new Item(60));
    limiter.withdraw(withdrawn);
    limiter.leave();
    assertEquals(60L, requested.get(requested.size() - 1));
  }
}
