package io.hawthornlb.gateway.job;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against a rolling restart of a large fleet that keeps all jobs from completing: each start
 * and stop of a gateway moves partitions, and items are moved more often than they make progress.
 */
class HolderSelectionTest {

  private final HolderSelection selection = new HolderSelection(24, "g1");
  private final Instant now = Instant.parse("2026-01-01T00:00:00Z");

  @Test
  void admitsAsManyMembersAsThereArePartitions() {
    assertTrue(selection.member(23, now));
    assertFalse(new HolderSelection(24, "g1").member(24, now));
  }

  @Test
  void keepsAMemberWithinTheExtraRanks() {
    selection.member(0, now);
    assertTrue(selection.member(27, now.plusSeconds(60)));
    assertTrue(selection.member(27, now.plusSeconds(120)));
  }

  /** Guards against a last holder that leaves because lost processes rank before it. */
  @Test
  void keepsAMemberThatRanksFarBehindWhileFewOthersHoldPartitions() {
    selection.member(0, now);
    assertTrue(selection.member(40, now));
    assertTrue(selection.member(40, now.plusSeconds(20)), "nobody knows who holds partitions");
    selection.holders(names(11), now.plusSeconds(21));
    assertTrue(selection.member(40, now.plusSeconds(21)));
    selection.holders(names(24), now.plusSeconds(40));
    assertFalse(selection.member(40, now.plusSeconds(40)));
  }

  private static Set<String> names(int count) {
    return IntStream.range(0, count).mapToObj(i -> "other" + i).collect(Collectors.toSet());
  }

  @Test
  void removesAMemberThatRanksFarBehindForLong() {
    selection.member(0, now);
    assertTrue(selection.member(40, now));
    assertTrue(selection.member(40, now.plusSeconds(9)));
    assertTrue(selection.member(3, now.plusSeconds(10)));
    assertTrue(selection.member(40, now.plusSeconds(11)));
    selection.holders(names(24), now.plusSeconds(21));
    assertFalse(selection.member(40, now.plusSeconds(21)));
  }
}
