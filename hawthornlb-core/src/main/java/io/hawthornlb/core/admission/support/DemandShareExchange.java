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
import java.util.Optional;
import java.util.Set;

/**
 * Exchange in which an entry may use what its peers do not ask for, and its part by demand when all
 * ask for more than there is.
 *
 * <p>While a whole data centre is not heard, the entries of this one share what it had last.
 */
public final class DemandShareExchange implements ShareExchange {

  private static final Duration CUT_AFTER = Duration.ofSeconds(3);
  private static final Duration SNAPSHOT_EVERY = Duration.ofMillis(500);
  private static final int SNAPSHOTS = 12;
  private static final double FLOOR = 0.02;

  private record Snapshot(Instant at, Map<ShareKey, Double> parts) {}

  private final InstanceId self;
  private final DataCentre dataCentre;
  private final Map<InstanceId, PeerDemand> peers = new HashMap<>();
  private final Map<ShareKey, Double> own = new HashMap<>();
  private final Map<ShareKey, Double> near = new HashMap<>();
  private final Map<ShareKey, Double> far = new HashMap<>();
  private final Deque<Snapshot> snapshots = new ArrayDeque<>();
  private Map<ShareKey, Double> frozen = Map.of();
  private int entries = 1;
  private int nearEntries = 1;
  private boolean cut;
  private long sequence;

  /** Creates the exchange of an entry. */
  public DemandShareExchange(InstanceId self, DataCentre dataCentre) {
    this.self = self;
    this.dataCentre = dataCentre;
  }

  @Override
  public void onEntries(Map<InstanceId, DataCentre> fleet, Instant now) {
    peers.keySet().retainAll(fleet.keySet());
    fleet.forEach(
        (id, place) -> {
          if (!id.equals(self)) {
            peers.computeIfAbsent(id, key -> new PeerDemand(place, now));
          }
        });
    entries = Math.max(1, fleet.size());
    nearEntries = 1;
    for (PeerDemand peer : peers.values()) {
      nearEntries += peer.dataCentre().equals(dataCentre) ? 1 : 0;
    }
    recount();
    checkCut(now);
  }

  @Override
  public void onDigest(DemandDigest digest, Instant now) {
    PeerDemand peer = peers.get(digest.sender());
    if (peer == null) {
      return;
    }
    Map<ShareKey, Double> before = peer.amounts();
    if (peer.take(digest, now)) {
      Map<ShareKey, Double> sums = peer.dataCentre().equals(dataCentre) ? near : far;
      before.forEach((key, amount) -> sums.merge(key, -amount, Double::sum));
      peer.amounts().forEach((key, amount) -> sums.merge(key, amount, Double::sum));
    }
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
    if (!cut) {
      remember(now);
    }
    List<Demand> demands = new ArrayList<>();
    own.forEach((key, amount) -> demands.add(new Demand(key, amount)));
    return new DemandDigest(self, dataCentre, ++sequence, demands);
  }

  @Override
  public double share(ShareKey key, double limit, Instant now) {
    double floor = limit / entries * FLOOR;
    double mine = own.getOrDefault(key, 0.0);
    double nearOthers = Math.max(0, near.getOrDefault(key, 0.0));
    double share;
    if (cut) {
      // Both sides of a cut know only the other side's last demand. If each took what the other
      // seemed to leave, the fleet would run over its limit; each keeps the part it had instead.
      double even = (double) nearEntries / entries;
      share = divide(limit * frozen.getOrDefault(key, even), mine, nearOthers);
    } else {
      share = divide(limit, mine, nearOthers + Math.max(0, far.getOrDefault(key, 0.0)));
    }
    return Math.max(floor, share);
  }

  private static double divide(double limit, double mine, double others) {
    double all = mine + others;
    return all <= limit ? limit - others : limit * mine / all;
  }

  private void checkCut(Instant now) {
    Optional<Instant> lost = lostSince(now);
    if (lost.isPresent() && !cut) {
      frozen = partsAt(lost.get());
    }
    cut = lost.isPresent();
  }

  /** Returns when the last digest of a data centre came that is not heard now. */
  private Optional<Instant> lostSince(Instant now) {
    Map<DataCentre, Instant> heard = new HashMap<>();
    for (PeerDemand peer : peers.values()) {
      if (!peer.dataCentre().equals(dataCentre)) {
        heard.merge(peer.dataCentre(), peer.heardAt(), DemandShareExchange::later);
      }
    }
    return heard.values().stream()
        .filter(at -> at.isBefore(now.minus(CUT_AFTER)))
        .min(Comparator.naturalOrder());
  }

  private void remember(Instant now) {
    if (!snapshots.isEmpty() && now.isBefore(snapshots.getLast().at().plus(SNAPSHOT_EVERY))) {
      return;
    }
    Map<ShareKey, Double> parts = new HashMap<>();
    Set<ShareKey> keys = new HashSet<>(far.keySet());
    keys.addAll(near.keySet());
    keys.addAll(own.keySet());
    for (ShareKey key : keys) {
      double here = own.getOrDefault(key, 0.0) + Math.max(0, near.getOrDefault(key, 0.0));
      double all = here + Math.max(0, far.getOrDefault(key, 0.0));
      // One more for each entry leaves a part to a side that asked for nothing at the time.
      parts.put(key, (here + nearEntries) / (all + entries));
    }
    snapshots.add(new Snapshot(now, parts));
    if (snapshots.size() > SNAPSHOTS) {
      snapshots.removeFirst();
    }
  }

  /**
   * Returns the parts of this data centre when both sides still knew the same.
   *
   * <p>A cut shows only seconds after it began. Demand that grew meanwhile is unknown to the other
   * side and must not count, or each side would freeze a part that grew at the other's expense.
   */
  private Map<ShareKey, Double> partsAt(Instant time) {
    Map<ShareKey, Double> parts = Map.of();
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

  private void recount() {
    near.clear();
    far.clear();
    for (PeerDemand peer : peers.values()) {
      Map<ShareKey, Double> sums = peer.dataCentre().equals(dataCentre) ? near : far;
      peer.amounts().forEach((key, amount) -> sums.merge(key, amount, Double::sum));
    }
  }
}
