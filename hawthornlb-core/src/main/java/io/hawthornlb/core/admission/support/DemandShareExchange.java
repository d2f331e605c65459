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
 * Exchange that lets an entry instance use the part of a limit that its peers do not demand. If the
 * total demand exceeds the limit, each entry instance gets a share in proportion to its demand.
 *
 * <p>While this instance receives nothing from a whole data centre, the remaining data centres
 * share the part of each limit that they had together before they lost contact.
 */
public final class DemandShareExchange implements ShareExchange {

  private static final Duration NETWORK_PARTITION_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration SNAPSHOT_INTERVAL = Duration.ofMillis(500);
  private static final int SNAPSHOTS = 12;
  private static final double MIN_SHARE = 0.02;
  private static final double EPSILON = 1e-9;

  /** The part of each limit that each data centre had at a moment. */
  private record Snapshot(Instant at, Map<DataCentre, Map<ShareKey, Double>> parts) {}

  private final InstanceId self;
  private final DataCentre dataCentre;
  private final Map<InstanceId, PeerDemand> peers = new HashMap<>();
  private final Map<ShareKey, Double> own = new HashMap<>();
  private final Map<DataCentre, Map<ShareKey, Double>> sums = new HashMap<>();
  private final Map<DataCentre, Integer> entriesPerCentre = new HashMap<>();
  private final Deque<Snapshot> snapshots = new ArrayDeque<>();
  private final Set<DataCentre> unreachable = new HashSet<>();
  private Map<DataCentre, Map<ShareKey, Double>> frozen = Map.of();
  private int entries = 1;
  private long sequence;

  /** Creates the exchange of an entry instance. */
  public DemandShareExchange(InstanceId self, DataCentre dataCentre) {
    this.self = self;
    this.dataCentre = dataCentre;
    this.entriesPerCentre.put(dataCentre, 1);
  }

  @Override
  public void onEntries(Map<InstanceId, DataCentre> fleet, Instant now) {
    peers.keySet().retainAll(fleet.keySet());
    entriesPerCentre.clear();
    entriesPerCentre.put(dataCentre, 1);
    fleet.forEach(
        (id, centre) -> {
          if (!id.equals(self)) {
            peers.computeIfAbsent(id, key -> new PeerDemand(centre, now));
            entriesPerCentre.merge(centre, 1, Integer::sum);
          }
        });
    entries = peers.size() + 1;
    sums.clear();
    peers.values().forEach(peer -> add(peer, 1));
    detectNetworkPartition(now);
  }

  @Override
  public void onDigest(DemandDigest digest, Instant now) {
    PeerDemand peer = peers.get(digest.sender());
    if (peer == null) {
      return;
    }
    add(peer, -1);
    peer.update(digest, now);
    add(peer, 1);
    detectNetworkPartition(now);
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
    detectNetworkPartition(now);
    if (unreachable.isEmpty()) {
      recordSnapshot(now);
    }
    List<Demand> demands = new ArrayList<>();
    own.forEach((key, amount) -> demands.add(new Demand(key, amount)));
    return new DemandDigest(self, dataCentre, ++sequence, demands);
  }

  @Override
  public double share(ShareKey key, double limit, Instant now) {
    double others = 0;
    double part = 0;
    for (DataCentre centre : entriesPerCentre.keySet()) {
      if (!unreachable.contains(centre)) {
        others += sum(centre, key);
        part += frozenPart(centre, key);
      }
    }
    // In a network partition each side knows only the last demand of the other. If each side took
    // what the other seems to leave, the fleet would exceed its limit. So each side keeps the part
    // that it had before.
    double available = unreachable.isEmpty() ? limit : limit * part;
    double minimum = limit / entries * MIN_SHARE;
    return Math.max(minimum, divide(available, own.getOrDefault(key, 0.0), others));
  }

  private static double divide(double limit, double demand, double others) {
    double total = demand + others;
    return total <= limit ? limit - others : limit * demand / total;
  }

  private double sum(DataCentre centre, ShareKey key) {
    return Math.max(0, sums.getOrDefault(centre, Map.of()).getOrDefault(key, 0.0));
  }

  private double frozenPart(DataCentre centre, ShareKey key) {
    double even = (double) entriesPerCentre.getOrDefault(centre, 0) / entries;
    return frozen.getOrDefault(centre, Map.of()).getOrDefault(key, even);
  }

  private void add(PeerDemand peer, int sign) {
    Map<ShareKey, Double> amounts = sums.computeIfAbsent(peer.dataCentre(), key -> new HashMap<>());
    peer.amounts()
        .forEach(
            (key, amount) -> amounts.merge(key, sign * amount, DemandShareExchange::sumOrNull));
  }

  /** Returns the sum, or null if it is zero, so that idle workspaces take no memory. */
  private static @Nullable Double sumOrNull(Double first, Double second) {
    double sum = first + second;
    return sum < EPSILON ? null : sum;
  }

  private void detectNetworkPartition(Instant now) {
    Map<DataCentre, Instant> lastHeard = new HashMap<>();
    for (PeerDemand peer : peers.values()) {
      if (!peer.dataCentre().equals(dataCentre)) {
        lastHeard.merge(peer.dataCentre(), peer.heardAt(), DemandShareExchange::later);
      }
    }
    lastHeard.values().removeIf(at -> !at.isBefore(now.minus(NETWORK_PARTITION_TIMEOUT)));
    if (unreachable.isEmpty() && !lastHeard.isEmpty()) {
      frozen = partsAt(lastHeard.values().stream().min(Comparator.naturalOrder()).orElse(now));
    }
    unreachable.clear();
    unreachable.addAll(lastHeard.keySet());
  }

  private void recordSnapshot(Instant now) {
    if (!snapshots.isEmpty() && now.isBefore(snapshots.getLast().at().plus(SNAPSHOT_INTERVAL))) {
      return;
    }
    Set<ShareKey> keys = new HashSet<>(own.keySet());
    sums.values().forEach(amounts -> keys.addAll(amounts.keySet()));
    Map<DataCentre, Map<ShareKey, Double>> parts = new HashMap<>();
    for (ShareKey key : keys) {
      double total = own.getOrDefault(key, 0.0);
      for (DataCentre centre : entriesPerCentre.keySet()) {
        total += sum(centre, key);
      }
      for (DataCentre centre : entriesPerCentre.keySet()) {
        double centreDemand = sum(centre, key);
        centreDemand += centre.equals(dataCentre) ? own.getOrDefault(key, 0.0) : 0;
        // Adding one for each entry instance reserves a part for a side that had no demand at this
        // moment.
        double part = (centreDemand + entriesPerCentre.get(centre)) / (total + entries);
        parts.computeIfAbsent(centre, unused -> new HashMap<>()).put(key, part);
      }
    }
    snapshots.add(new Snapshot(now, parts));
    if (snapshots.size() > SNAPSHOTS) {
      snapshots.removeFirst();
    }
  }

  /**
   * Returns the parts of the data centres at the last snapshot that is not later than {@code time},
   * when all data centres still had the same information.
   *
   * <p>A network partition is detected only seconds after it began. Demand that grew in between is
   * unknown to the other side and must not count; otherwise each side would freeze a part that grew
   * at the expense of the other.
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

  private static Instant later(Instant first, Instant second) {
    return first.isAfter(second) ? first : second;
  }
}
