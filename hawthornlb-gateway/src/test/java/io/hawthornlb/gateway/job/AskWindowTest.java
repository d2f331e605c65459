package io.hawthornlb.gateway.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Callers get late answers after an outage of a large fleet, although nothing fails any more: all
 * items of all jobs ask for slots again and again, and the coordinator is busy with refusing them.
 */
class AskWindowTest {

  private final AskWindow window = new AskWindow();
  private final List<Long> asked = new ArrayList<>();
  private boolean answersAtOnce;

  private final class Item implements AskWindow.Asker {

    private final long rank;

    private Item(long rank) {
      this.rank = rank;
    }

    @Override
    public long rank() {
      return rank;
    }

    @Override
    public void ask() {
      asked.add(rank);
      if (answersAtOnce) {
        window.left();
      }
    }
  }

  @Test
  void letsThoseAskThatGoFirst() {
    for (long rank = 100; rank > 0; rank--) {
      window.enter(new Item(rank));
    }
    assertEquals(AskWindow.MAX_ASKING, asked.size());
    window.left();
    window.left();
    assertEquals(List.of(1L, 2L), asked.subList(AskWindow.MAX_ASKING, asked.size()));
  }

  @Test
  void letsAllAskWhoAreAnsweredAtOnce() {
    answersAtOnce = true;
    for (long rank = 0; rank < 5_000; rank++) {
      window.enter(new Item(rank));
    }
    assertEquals(5_000, asked.size());
  }

  @Test
  void takesBackAnItemThatHasNotAsked() {
    for (long rank = 0; rank < AskWindow.MAX_ASKING; rank++) {
      window.enter(new Item(rank));
    }
    Item ended = new Item(50);
    window.enter(ended);
    window.enter(new Item(60));
    window.withdraw(ended);
    window.left();
    assertEquals(60L, asked.get(asked.size() - 1));
  }
}
