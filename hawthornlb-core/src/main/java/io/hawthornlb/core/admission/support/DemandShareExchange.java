package io.hawthornlb.core.admission.support;

import io.hawthornlb.core.admission.Demand;
import io.hawthornlb.core.admission.DemandDigest;
import io.hawthornlb.core.admission.ShareExchange;
import io.hawthornlb.core.admission.ShareKey;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.InstanceId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Exchange in which an entry may use what its peers do not ask for, and its part by demand when all
 * ask for more than there is.
 *
 * <p>While a whole data centre is not heard, the others share what they had together when it was.
 */
public final class DemandShareExchange implements ShareExchange {

  private static final Duration CUT_AFTER = Duration.ofSeconds(3);
  private static final Duration SNAPSHOT_EVERY = Duration.ofMillis(500);
  private static final int SNAPSHOTS = 12;
  private static final double FLOOR = 0.02;
  private static final double NOTHING = 1e-9;

  /** Part of each limit that each data centre had at a time. */
  private record Snapshot(Instant at, Map<DataCentre, Map<ShareKey, Double>> parts) {}

  private final InstanceId self;
  private final DataCentre dataCentre;
  private final Map<InstanceId, PeerDemand> peers = new HashMap<>();
  private final Map<ShareKey, Double> own = new HashMap<>();
  private final Map<DataCentre, Map<ShareKey, Double>> sums = new HashMap<>();
  private final Map<DataCentre, Integer> entriesIn = new HashMap<>();
  private final Deque<Snapshot> snapshots = new ArrayDeque<>();
  private final Set<DataCentre> lost = new HashSet<>();
  private Map<DataCentre, Map<ShareKey, Double>> frozen = Map.of();
  private int entries = 1;
  private long sequence;

  /** Creates the exchange of an entry. */
  public DemandShareExchange(InstanceId self, DataCentre dataCentre) {
    this.self = self;
    this.dataCentre = dataCentre;
    this.entriesIn.put(dataCentre, 1);
  }

  @Override
  public void onEntries(Map<InstanceId, DataCentre> fleet, Instant now) {
    peers.keySet().retainAll(fleet.keySet());
    entriesIn.clear();
    entriesIn.put(dataCentre, 1);
    fleet.forEach(
        (id, place) -> {
          if (!id.equals(self)) {
            peers.computeIfAbsent(id, key -> new PeerDemand(place, now));
            entriesIn.merge(place, 1, Integer::sum);
          }
        });
    entries = peers.size() + 1;
    sums.clear();
    peers.values().forEach(peer -> add(peer, 1));
    checkCut(now);
  }

  @Override
  public void onDigest(DemandDigest digest, Instant now) {
    PeerDemand peer = peers.get(digest.sender());
    if (peer == null) {
      return;
    }
    add(peer, -1);
    peer.take(digest, now);
    add(peer, 1);
    checkCut(now);
  }

  @Override
  public void demand(ShareKey key, double amount) {
    if (amount == 0) {
      own.remove(key);
    } else {
      own.put(key, amount);
    }
  }

  @Override
  public DemandDigest digest(Instant now) {
    checkCut(now);
    if (lost.isEmpty()) {
      remember(now);
    }
    List<Demand> demands = new ArrayList<>();
    own.forEach((key, amount) -> demands.add(new Demand(key, amount)));
    return new DemandDigest(self, dataCentre, ++sequence, demands);
  }

  @Override
  public double share(ShareKey key, double limit, Instant now) {
    double others = 0;
    double part = 0;
    for (DataCentre place : entriesIn.keySet()) {
      if (!lost.contains(place)) {
        others += sum(place, key);
        part += frozenPart(place, key);
      }
    }
    // Both sides of a cut know only the other side's last demand. If each took what the other
    // seemed to leave, the fleet would run over its limit; each keeps the part it had instead.
    double available = lost.isEmpty() ? limit : limit * part;
    double floor = limit / entries * FLOOR;
    return Math.max(floor, divide(available, own.getOrDefault(key, 0.0), others));
  }

  private static double divide(double limit, double mine, double others) {
    double all = mine + others;
    return all <= limit ? limit - others : limit * mine / all;
  }

  private double sum(DataCentre place, ShareKey key) {
    return Math.max(0, sums.getOrDefault(place, Map.of()).getOrDefault(key, 0.0));
  }

  private double frozenPart(DataCentre place, ShareKey key) {
    double even = (double) entriesIn.getOrDefault(place, 0) / entries;
    return frozen.getOrDefault(place, Map.of()).getOrDefault(key, even);
  }

  private void add(PeerDemand peer, int sign) {
    Map<ShareKey, Double> amounts = sums.computeIfAbsent(peer.dataCentre(), key -> new HashMap<>());
    peer.amounts()
        .forEach(
            (key, amount) -> amounts.merge(key, sign * amount, DemandShareExchange::sumOrNone));
  }

  /** Returns the sum, or null where none is left, so that idle workspaces take no memory. */
  private static @Nullable Double sumOrNone(Double one, Double other) {
    double sum = one + other;
    return sum < NOTHING ? null : sum;
  }

  private void checkCut(Instant now) {
    Map<DataCentre, Instant> heard = new HashMap<>();
    for (PeerDemand peer : peers.values()) {
      if (!peer.dataCentre().equals(dataCentre)) {
        heard.merge(peer.dataCentre(), peer.heardAt(), DemandShareExchange::later);
      }
    }
    heard.values().removeIf(at -> !at.isBefore(now.minus(CUT_AFTER)));
    if (lost.isEmpty() && !heard.isEmpty()) {
      frozen = partsAt(heard.values().stream().min(Comparator.naturalOrder()).orElse(now));
    }
    lost.clear();
    lost.addAll(heard.keySet());
  }

  private void remember(Instant now) {
    if (!snapshots.isEmpty() && now.isBefore(snapshots.getLast().at().plus(SNAPSHOT_EVERY))) {
      return;
    }
    Set<ShareKey> keys = new HashSet<>(own.keySet());
    sums.values().forEach(amounts -> keys.addAll(amounts.keySet()));
    Map<DataCentre, Map<ShareKey, Double>> parts = new HashMap<>();
    for (ShareKey key : keys) {
      double all = own.getOrDefault(key, 0.0);
      for (DataCentre place : entriesIn.keySet()) {
        all += sum(place, key);
      }
      for (DataCentre place : entriesIn.keySet()) {
        double here = sum(place, key);
        here += place.equals(dataCentre) ? own.getOrDefault(key, 0.0) : 0;
        // One more for each entry leaves a part to a side that asked for nothing at the time.
        double part = (here + entriesIn.get(place)) / (all + entries);
        parts.computeIfAbsent(place, any -> new HashMap<>()).put(key, part);
      }
    }
    snapshots.add(new Snapshot(now, parts));
    if (snapshots.size() > SNAPSHOTS) {
      snapshots.removeFirst();
    }
  }

  /**
   * Returns the parts of the data centres when all still knew the same.
   *
   * <p>A cut shows only seconds after it began. Demand that grew meanwhile is unknown to the other
   * side and must not count, or each side would freeze a part that grew at the other's expense.
   */
  private Map<DataCentre, Map<ShareKey, Double>> partsAt(Instant time) {
    Map<DataCentre, Map<ShareKey, Double>> parts = Map.of();
    for (Snapshot snapshot : snapshots) {
      if (!snapshot.at().isAfter(time)) {
        parts = snapshot.parts();
      }
    }
    return parts;
  }

  private static Instant later(Instant one, Instant other) {
    return one.isAfter(other) ? one : other;
  }
}
