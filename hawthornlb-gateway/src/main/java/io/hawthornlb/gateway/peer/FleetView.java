package io.hawthornlb.gateway.peer;

import com.dynatrace.hash4j.hashing.Hashing;
import io.hawthornlb.core.claim.RendezvousHash;
import io.hawthornlb.core.model.InstanceId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * The processes of the fleet known to this process, and which of them are suspected to be
 * unresponsive.
 *
 * <p>The list of instances may still name a process that is killed, frozen or partitioned from the
 * network, and datagrams to that process get no answer. When a process does not answer, the view
 * excludes it from the orders. The exclusion doubles with each missing answer, and ends early when
 * a datagram from that process arrives.
 */
public final class FleetView {

  /** First time for which an unresponsive process is excluded; about the duration of a restart. */
  private static final Duration FIRST_SUSPICION = Duration.ofMillis(1_200);

  /**
   * Longest exclusion. After a network partition has healed, both sides agree on the order again
   * within this time.
   */
  private static final Duration MAX_SUSPICION = Duration.ofSeconds(4);

  /**
   * Number of unresponsive processes in a data centre after which the whole data centre is
   * excluded.
   */
  private static final int UNRESPONSIVE_FOR_DATA_CENTRE = 2;

  /**
   * Maximum number of cached orders. There are about ten services, and each partition of the jobs
   * is a key as well.
   */
  private static final int MAX_CACHED_ORDERS = 100;

  /** Number of orders among which {@link #spread} divides all keys. */
  private static final int SPREADS = 64;

  private static final Comparator<GatewayInstance> BY_SIZE =
      Comparator.comparingDouble(GatewayInstance::cores).reversed();

  private record Suspicion(int missedAnswers, Instant until) {}

  private final GatewayInstance self;
  private final Map<String, GatewayInstance> instances = new HashMap<>();
  private final Map<String, GatewayInstance> lastKnown = new HashMap<>();
  private final Map<String, Suspicion> suspicions = new HashMap<>();
  private final Map<String, List<GatewayInstance>> orders = new HashMap<>();
  private final Map<Long, List<GatewayInstance>> spreads = new HashMap<>();
  private @Nullable RendezvousHash hash;
  private @Nullable Map<String, List<GatewayInstance>> byDataCentre;

  /** Creates a view that contains this process alone. */
  public FleetView(GatewayInstance self) {
    this.self = self;
    instances.put(self.name(), self);
  }

  /** Returns this process. */
  public GatewayInstance self() {
    return self;
  }

  /**
   * Adds or updates a process of the instance list. Clears the suspicion of a process whose entry
   * changed.
   */
  public void put(GatewayInstance instance) {
    if (instance.name().equals(self.name())) {
      return;
    }
    lastKnown.put(instance.name(), instance);
    GatewayInstance former = instances.put(instance.name(), instance);
    if (!instance.equals(former)) {
      suspicions.remove(instance.name());
      invalidateOrders();
    }
  }

  /** Removes a process that has left the instance list. */
  public void remove(String name) {
    if (!name.equals(self.name()) && instances.remove(name) != null) {
      invalidateOrders();
    }
  }

  private void invalidateOrders() {
    hash = null;
    byDataCentre = null;
    orders.clear();
    spreads.clear();
  }

  /** Returns a process by its name; null if the list does not contain it. */
  public @Nullable GatewayInstance find(String name) {
    return instances.get(name);
  }

  /**
   * Returns a process by its name with its last listed address; null if the list never contained
   * it.
   *
   * <p>A process that stops leaves the list at once but handles requests for some seconds more.
   * Without its address, answers to its requests for slots could not be sent: its callers would
   * wait for 0.1 s, and slots would be reserved for nobody. Answers therefore go to its last known
   * address.
   */
  public @Nullable GatewayInstance lastKnown(String name) {
    return name.equals(self.name()) ? self : lastKnown.get(name);
  }

  /** Returns whether a process or its whole data centre is suspected to be unresponsive. */
  public boolean seemsSilent(String name, Instant now) {
    GatewayInstance instance = lastKnown(name);
    return suspected(name, now) || (instance != null && dataCentreSuspected(instance, now));
  }

  /** Returns the listed processes except this one. */
  public List<GatewayInstance> others() {
    return instances.values().stream().filter(each -> !each.equals(self)).toList();
  }

  /** Returns the listed processes, including this one, by data centre. */
  Map<String, List<GatewayInstance>> byDataCentre() {
    Map<String, List<GatewayInstance>> current = byDataCentre;
    if (current == null) {
      current =
          instances.values().stream().collect(Collectors.groupingBy(GatewayInstance::dataCentre));
      byDataCentre = current;
    }
    return current;
  }

  /** Records that a process did not answer. */
  public void recordSilence(String name, Instant now) {
    Suspicion former = suspicions.get(name);
    int missedAnswers = former == null ? 1 : Math.min(former.missedAnswers() + 1, 10);
    Duration doubled = FIRST_SUSPICION.multipliedBy(1L << (missedAnswers - 1));
    Duration time = doubled.compareTo(MAX_SUSPICION) > 0 ? MAX_SUSPICION : doubled;
    suspicions.put(name, new Suspicion(missedAnswers, now.plus(time)));
  }

  /** Records that a datagram of a process arrived. */
  public void recordContact(String name) {
    if (suspicions.isEmpty()) {
      return;
    }
    suspicions.remove(name);
    GatewayInstance instance = instances.get(name);
    if (instance != null && !instance.dataCentre().equals(self.dataCentre())) {
      // The data centre is reachable again. Processes there that are still unresponsive are
      // detected separately.
      suspicions.keySet().removeIf(each -> inDataCentre(each, instance.dataCentre()));
    }
  }

  /**
   * Returns the responsive processes in the order in which they serve a key.
   *
   * <p>The coordinator of a busy service decides for all requests of that service. A small instance
   * cannot do that in addition to its own requests, so larger instances come first.
   */
  public List<GatewayInstance> ranked(String key, Instant now) {
    List<GatewayInstance> order = order(key);
    if (suspicions.isEmpty()) {
      return order;
    }
    return order.stream()
        .filter(each -> !suspected(each.name(), now) && !dataCentreSuspected(each, now))
        .toList();
  }

  /**
   * Returns all processes in the order for a key, including those suspected to be unresponsive.
   *
   * <p>The order is needed for each request and changes only with the instance list. Computing it
   * takes one hash and comparison for each process of the fleet, so orders are cached.
   */
  private List<GatewayInstance> order(String key) {
    if (orders.size() >= MAX_CACHED_ORDERS && !orders.containsKey(key)) {
      orders.clear();
    }
    return orders.computeIfAbsent(key, this::newOrder);
  }

  private List<GatewayInstance> newOrder(String key) {
    List<GatewayInstance> order = hashed(Hashing.wyhashFinal4().hashCharsToLong(key));
    // The sort is stable, so processes of equal size keep the order given by the key.
    order.sort(BY_SIZE);
    return List.copyOf(order);
  }

  /**
   * Returns all listed processes in an order that depends on a hash alone, not on their sizes, so
   * that hashes spread over all of them.
   */
  List<GatewayInstance> spread(long hash) {
    return spreads.computeIfAbsent(
        Math.floorMod(hash, (long) SPREADS), group -> List.copyOf(hashed(group)));
  }

  private List<GatewayInstance> hashed(long key) {
    RendezvousHash current = hash;
    if (current == null) {
      current = new RendezvousHash(instances.keySet().stream().map(FleetView::id).toList());
      hash = current;
    }
    List<GatewayInstance> order = new ArrayList<>();
    for (InstanceId id : current.ranked(key)) {
      GatewayInstance instance = instances.get(id.stableName());
      if (instance != null) {
        order.add(instance);
      }
    }
    return order;
  }

  /** Returns the responsive processes except this one, in the order in which they serve a key. */
  public List<GatewayInstance> rankedOthers(String key, Instant now) {
    return ranked(key, now).stream().filter(each -> !each.name().equals(self.name())).toList();
  }

  /** Returns the position of this process in the order for a key, from 0. */
  public int rankOfSelf(String key, Instant now) {
    return ranked(key, now).indexOf(self);
  }

  /**
   * Returns the position of a process in the order for a key, from 0, also if it is suspected to be
   * unresponsive; that of an unlisted process is after all others.
   */
  int listedRank(String key, String name) {
    GatewayInstance instance = instances.get(name);
    return instance == null ? instances.size() : order(key).indexOf(instance);
  }

  private boolean dataCentreSuspected(GatewayInstance instance, Instant now) {
    String dataCentre = instance.dataCentre();
    if (dataCentre.equals(self.dataCentre())) {
      return false;
    }
    int unresponsive = 0;
    for (String name : suspicions.keySet()) {
      GatewayInstance suspect = instances.get(name);
      if (suspect != null && suspect.dataCentre().equals(dataCentre) && suspected(name, now)) {
        unresponsive++;
      }
    }
    return unresponsive >= UNRESPONSIVE_FOR_DATA_CENTRE;
  }

  private static InstanceId id(String name) {
    return new InstanceId(name);
  }

  private boolean inDataCentre(String name, String dataCentre) {
    GatewayInstance instance = instances.get(name);
    return instance != null && instance.dataCentre().equals(dataCentre);
  }

  private boolean suspected(String name, Instant now) {
    Suspicion suspicion = suspicions.get(name);
    return suspicion != null && now.isBefore(suspicion.until());
  }
}
