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
import org.jspecify.annotations.Nullable;

/**
 * The processes of the fleet as this one knows them, and which of them do not answer.
 *
 * <p>Failure: a process is killed, frozen or cut off while the list still names it. It shows as
 * datagrams without an answer. Guard: one that did not answer is passed over for a time that
 * doubles with each silence, until a datagram of it arrives.
 */
public final class FleetView {

  /** First time for which a silent process is passed over; about a restart. */
  private static final Duration FIRST_SUSPICION = Duration.ofMillis(1_200);

  /** Longest such time; after a cut has healed, both sides agree again within it. */
  private static final Duration MAX_SUSPICION = Duration.ofSeconds(4);

  /** Silent processes after which their whole data centre is passed over. */
  private static final int SILENT_FOR_DATA_CENTRE = 2;

  /** Orders that are kept; there are some ten services, and a partition of jobs is a key, too. */
  private static final int MAX_ORDERS = 100;

  private static final Comparator<GatewayInstance> BY_SIZE =
      Comparator.comparingDouble(GatewayInstance::cores).reversed();

  private record Suspicion(int silences, Instant until) {}

  private final GatewayInstance self;
  private final Map<String, GatewayInstance> instances = new HashMap<>();
  private final Map<String, GatewayInstance> lastKnown = new HashMap<>();
  private final Map<String, Suspicion> suspicions = new HashMap<>();
  private final Map<String, List<GatewayInstance>> orders = new HashMap<>();
  private @Nullable RendezvousHash hash;

  /** Creates a view that holds this process alone. */
  public FleetView(GatewayInstance self) {
    this.self = self;
    instances.put(self.name(), self);
  }

  /** Returns this process. */
  public GatewayInstance self() {
    return self;
  }

  /** Takes a process of the list. */
  public void put(GatewayInstance instance) {
    if (instance.name().equals(self.name())) {
      return;
    }
    lastKnown.put(instance.name(), instance);
    GatewayInstance former = instances.put(instance.name(), instance);
    if (!instance.equals(former)) {
      suspicions.remove(instance.name());
      changed();
    }
  }

  /** Takes the end of a process. */
  public void remove(String name) {
    if (!name.equals(self.name()) && instances.remove(name) != null) {
      changed();
    }
  }

  private void changed() {
    hash = null;
    orders.clear();
  }

  /** Returns a process by its name; null if the list lacks it. */
  public @Nullable GatewayInstance find(String name) {
    return instances.get(name);
  }

  /**
   * Returns a process by its name as the list last had it; null if it never did.
   *
   * <p>Failure: a process that stops leaves the list at once and handles requests for seconds more.
   * It shows as questions for slots whose answers are sent nowhere, so that its callers wait for
   * 0.1 s and slots are kept for nobody. Guard: answers go to where it was last.
   */
  public @Nullable GatewayInstance lastKnown(String name) {
    return name.equals(self.name()) ? self : lastKnown.get(name);
  }

  /** Returns whether a process, or its whole data centre, seems silent. */
  public boolean seemsSilent(String name, Instant now) {
    GatewayInstance instance = lastKnown(name);
    return suspected(name, now) || (instance != null && cutOff(instance, now));
  }

  /** Returns the other processes. */
  public List<GatewayInstance> others() {
    return instances.values().stream().filter(each -> !each.equals(self)).toList();
  }

  /** Notes that a process did not answer. */
  public void silent(String name, Instant now) {
    Suspicion former = suspicions.get(name);
    int silences = former == null ? 1 : Math.min(former.silences() + 1, 10);
    Duration doubled = FIRST_SUSPICION.multipliedBy(1L << (silences - 1));
    Duration time = doubled.compareTo(MAX_SUSPICION) > 0 ? MAX_SUSPICION : doubled;
    suspicions.put(name, new Suspicion(silences, now.plus(time)));
  }

  /** Notes that a datagram of a process arrived. */
  public void heard(String name) {
    if (suspicions.isEmpty()) {
      return;
    }
    suspicions.remove(name);
    GatewayInstance instance = instances.get(name);
    if (instance != null && !instance.dataCentre().equals(self.dataCentre())) {
      // The data centre is reached again; whoever is still silent there is found out anew.
      suspicions.keySet().removeIf(each -> inDataCentre(each, instance.dataCentre()));
    }
  }

  /**
   * Returns the processes that do not seem silent, in the order in which they serve a key.
   *
   * <p>Load pattern: in a fleet of instances of several sizes the coordinator of a busy service
   * decides for all requests, which is too much for a small instance beside its own. So the largest
   * come first.
   */
  public List<GatewayInstance> ranked(String key, Instant now) {
    List<GatewayInstance> order = order(key);
    if (suspicions.isEmpty()) {
      return order;
    }
    return order.stream()
        .filter(each -> !suspected(each.name(), now) && !cutOff(each, now))
        .toList();
  }

  /**
   * Returns all processes in the order for a key.
   *
   * <p>Asked for each request, and changed with the list alone: an order is a hash and a comparison
   * for each process of the fleet.
   */
  private List<GatewayInstance> order(String key) {
    if (orders.size() >= MAX_ORDERS && !orders.containsKey(key)) {
      orders.clear();
    }
    return orders.computeIfAbsent(key, this::newOrder);
  }

  private List<GatewayInstance> newOrder(String key) {
    RendezvousHash current = hash;
    if (current == null) {
      current = new RendezvousHash(instances.keySet().stream().map(FleetView::id).toList());
      hash = current;
    }
    List<GatewayInstance> order = new ArrayList<>();
    for (InstanceId id : current.ranked(Hashing.wyhashFinal4().hashCharsToLong(key))) {
      GatewayInstance instance = instances.get(id.stableName());
      if (instance != null) {
        order.add(instance);
      }
    }
    // The sort is stable, so that the order by key stays among those of one size.
    order.sort(BY_SIZE);
    return List.copyOf(order);
  }

  /**
   * Returns the other processes that do not seem silent, in the order in which they serve a key.
   */
  public List<GatewayInstance> rankedOthers(String key, Instant now) {
    return ranked(key, now).stream().filter(each -> !each.name().equals(self.name())).toList();
  }

  /** Returns the place of this process in the order for a key, from 0. */
  public int rankOfSelf(String key, Instant now) {
    return ranked(key, now).indexOf(self);
  }

  private boolean cutOff(GatewayInstance instance, Instant now) {
    String dataCentre = instance.dataCentre();
    if (dataCentre.equals(self.dataCentre())) {
      return false;
    }
    int silent = 0;
    for (String name : suspicions.keySet()) {
      GatewayInstance suspect = instances.get(name);
      if (suspect != null && suspect.dataCentre().equals(dataCentre) && suspected(name, now)) {
        silent++;
      }
    }
    return silent >= SILENT_FOR_DATA_CENTRE;
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
