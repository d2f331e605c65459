package io.hawthornlb.gateway.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ItemRulesTest {

  @Test
  void givesUpAfterAPermanentFailure() {
    assertEquals(ItemRules.Next.GIVE_UP, ItemRules.afterFailure(422, 0, 3));
  }

  @Test
  void givesUpAfterTheMaximumAttemptsOfTheRoute() {
    assertEquals(ItemRules.Next.RUN_AGAIN, ItemRules.afterFailure(500, 2, 3));
    assertEquals(ItemRules.Next.GIVE_UP, ItemRules.afterFailure(500, 3, 3));
  }

  @Test
  void doesNotGiveUpAfterTemporaryFailures() {
    assertEquals(ItemRules.Next.RUN_AGAIN, ItemRules.afterFailure(503, 3, 3));
    assertEquals(ItemRules.Next.RUN_AGAIN, ItemRules.afterFailure(504, 9, 3));
  }
}
