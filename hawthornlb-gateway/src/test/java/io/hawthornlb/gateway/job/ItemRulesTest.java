package io.hawthornlb.gateway.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ItemRulesTest {

  @Test
  void givesUpWhatCanNeverBeDone() {
    assertEquals(ItemRules.Next.GIVE_UP, ItemRules.after(422, 0, 3));
  }

  @Test
  void givesUpAfterTheAttemptsOfTheRoute() {
    assertEquals(ItemRules.Next.RUN_AGAIN, ItemRules.after(500, 2, 3));
    assertEquals(ItemRules.Next.GIVE_UP, ItemRules.after(500, 3, 3));
  }

  @Test
  void neverGivesUpForWhatIsNoFailureOfTheItem() {
    assertEquals(ItemRules.Next.RUN_AGAIN, ItemRules.after(503, 3, 3));
    assertEquals(ItemRules.Next.RUN_AGAIN, ItemRules.after(504, 9, 3));
  }
}
