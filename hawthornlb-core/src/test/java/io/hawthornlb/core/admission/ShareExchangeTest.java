package io.hawthornlb.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.admission.support.DemandShareExchange;
import io.hawthornlb.core.admission.support.EvenShareExchange;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.InstanceId;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiPredicate;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class ShareExchangeTest {

  private static final ShareKey KEY = new ShareKey(ShareKey.Kind.SERVICE, "log-reader");
  private static final int ENTRIES = 13;
  private static final double LIMIT = 96;
  private static final double MIN_SHARES = LIMIT * 0.02;

  @Property(tries = 100, seed = "20261202")
  void usedSharesStayWithinTheLimit(@ForAll long seed) {
    Random random = new Random(seed);
    List<ShareExchange> fleet = fleet(true);
    double[] demands = new double[ENTRIES];
    for (int i = 0; i < ENTRIES; i++) {
      demands[i] = random.nextInt(4) == 0 ? random.nextInt(60) : random.nextInt(3);
      fleet.get(i).demand(KEY, demands[i]);
    }
    exchange(fleet, (from, to) -> true, Instant.EPOCH);
    assertTrue(used(fleet, demands, Instant.EPOCH) <= LIMIT + MIN_SHARES);
  }

  // Guards against a burst at one entry instance that waits although the fleet is idle: with a
  // fixed part of the limit for each entry instance, the parts that others leave unused cannot be
  // used.
  @Test
  void oneEntryMayUseTheSharesThatOthersLeave() {
    List<ShareExchange> even = fleet(false);
    List<ShareExchange> byDemand = fleet(true);
    even.get(0).demand(KEY, 60);
    byDemand.get(0).demand(KEY, 60);
    exchange(byDemand, (from, to) -> true, Instant.EPOCH);
    assertTrue(even.get(0).share(KEY, LIMIT, Instant.EPOCH) < 8, "the baseline");
    assertTrue(byDemand.get(0).share(KEY, LIMIT, Instant.EPOCH) >= 60);
  }

  // Guards against overloaded engines during a network partition: each side receives nothing from
  // the other, considers the other side's part unused, and both sides together admit more than the
  // limit.
  @Test
  void bothSidesOfANetworkPartitionTogetherKeepTheLimit() {
    List<ShareExchange> fleet = fleet(true);
    double[] demands = new double[ENTRIES];
    for (int i = 0; i < ENTRIES; i++) {
      demands[i] = 4;
      fleet.get(i).demand(KEY, 4);
    }
    for (int millis = 0; millis <= 1_000; millis += 500) {
      exchange(fleet, (from, to) -> true, Instant.EPOCH.plusMillis(millis));
    }
    Instant later = Instant.EPOCH.plusSeconds(5);
    for (int i = 0; i < ENTRIES; i++) {
      demands[i] = 40;
      fleet.get(i).demand(KEY, 40);
    }
    exchange(fleet, (from, to) -> (from % 4 == 0) == (to % 4 == 0), later);
    exchange(fleet, (from, to) -> (from % 4 == 0) == (to % 4 == 0), later.plusMillis(100));
    double all = used(fleet, demands, later.plusMillis(100));
    assertTrue(all <= LIMIT + MIN_SHARES, () -> "both sides use " + all);
    assertTrue(all >= LIMIT * 0.95, () -> "both sides use only " + all);
    exchange(fleet, (from, to) -> true, later.plusSeconds(1));
    assertEquals(LIMIT, used(fleet, demands, later.plusSeconds(1)), MIN_SHARES);
  }

  private static double used(List<ShareExchange> fleet, double[] demands, Instant now) {
    double sum = 0;
    for (int i = 0; i < ENTRIES; i++) {
      sum += Math.min(demands[i], fleet.get(i).share(KEY, LIMIT, now));
    }
    return sum;
  }

  private static void exchange(
      List<ShareExchange> fleet, BiPredicate<Integer, Integer> reaches, Instant now) {
    List<DemandDigest> digests = new ArrayList<>();
    fleet.forEach(entry -> digests.add(entry.digest(now)));
    for (int from = 0; from < ENTRIES; from++) {
      for (int to = 0; to < ENTRIES; to++) {
        if (from != to && reaches.test(from, to)) {
          fleet.get(to).onDigest(digests.get(from), now);
        }
      }
    }
  }

  private static List<ShareExchange> fleet(boolean byDemand) {
    Map<InstanceId, DataCentre> members = new HashMap<>();
    for (int i = 0; i < ENTRIES; i++) {
      members.put(id(i), centre(i));
    }
    List<ShareExchange> fleet = new ArrayList<>();
    for (int i = 0; i < ENTRIES; i++) {
      ShareExchange entry =
          byDemand
              ? new DemandShareExchange(id(i), centre(i))
              : new EvenShareExchange(id(i), centre(i));
      entry.onEntries(members, Instant.EPOCH);
      fleet.add(entry);
    }
    return fleet;
  }

  private static InstanceId id(int index) {
    return new InstanceId("entry-" + index);
  }

  private static DataCentre centre(int index) {
    return new DataCentre("dc-" + index % 4);
  }
}
