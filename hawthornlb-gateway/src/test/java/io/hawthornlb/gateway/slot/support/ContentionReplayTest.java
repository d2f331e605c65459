package io.hawthornlb.gateway.slot.support;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Compares the policy of contended deployments with the existing one over the same load, without
 * and with a data centre that is partitioned off at a peak.
 */
class ContentionReplayTest {

  /**
   * Guards against a hot workspace that takes the slots of others, against a data centre or the
   * large requests served less than others, and against callers that gain by resending early.
   */
  @ParameterizedTest
  @CsvSource({
    "1,0,0",
    "2,0,0",
    "3,0,0",
    "4,0,0",
    "5,0,0",
    "1,21600,26100",
    "2,21600,26100",
    "3,21600,26100",
    "4,21600,26100",
    "5,21600,26100"
  })
  void servesAllFlowsDuringAPeakOfOne(long seed, int cutFrom, int cutUntil) {
    ContentionReplay existing = new ContentionReplay(seed, false).run(cutFrom, cutUntil);
    ContentionReplay contended = new ContentionReplay(seed, true).run(cutFrom, cutUntil);
    String seen = "existing " + existing + "\n contended " + contended;
    System.out.println("contention: seed " + seed + ", cut " + cutFrom + "\n " + seen);
    assertTrue(contended.onTime() > existing.onTime(), seen);
    assertTrue(contended.worstDataCentre() > existing.worstDataCentre(), seen);
    assertTrue(
        contended.worstOther(each -> each.onTime) > existing.worstOther(each -> each.onTime), seen);
    assertTrue(4 * contended.worstOther(each -> each.served) >= contended.served(), seen);
    assertTrue(4 * contended.hot(each -> each.served) >= contended.served(), seen);
    assertTrue(2 * contended.largest(each -> each.served) >= contended.served(), seen);
    assertTrue(contended.retried(true) <= contended.retried(false), seen);
  }
}
