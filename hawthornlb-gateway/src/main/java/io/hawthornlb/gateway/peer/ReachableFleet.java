package io.hawthornlb.gateway.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tells which part of the fleet this process can reach.
 *
 * <p>In a network partition each side has its own coordinator. If each granted the whole limit of a
 * workspace, the fleet would exceed the limit. A coordinator therefore grants only the part that
 * corresponds to the data centres from which it receives datagrams. It asks for a sign of life
 * before it counts a data centre as unreachable, so that an idle data centre costs no share.
 */
final class ReachableFleet {

  /** Time without a datagram after which instances of a data centre are asked for one. */
  private static final Duration ASK_AFTER = Duration.ofMillis(500);

  /** Time without a datagram after which a data centre counts as unreachable. */
  private static final Duration UNREACHABLE_AFTER = Duration.ofMillis(1_200);

  /** Pause before the instances of a data centre are asked again. */
  private static final Duration ASK_PAUSE = Duration.ofMillis(100);

  /** Number of instances of a data centre that are asked at once. */
  private static final int ASKED = 3;

  private final FleetView fleet;
  private final PeerTransport transport;
  private final Map<String, Instant> heard = new HashMap<>();
  private final Map<String, Instant> asked = new HashMap<>();
  private int nextAsked;

  ReachableFleet(FleetView fleet, PeerTransport transport) {
    this.fleet = fleet;
    this.transport = transport;
  }

  /** Records that a datagram of a process arrived. */
  void recordContact(String name, Instant now) {
    GatewayInstance instance = fleet.find(name);
    if (instance != null) {
      heard.put(instance.dataCentre(), now);
    }
  }

  /** Returns the part of all instances that is in reachable data centres, above 0 and up to 1. */
  double share(Instant now) {
    int reachable = 0;
    int all = 0;
    for (Map.Entry<String, List<GatewayInstance>> each : fleet.byDataCentre().entrySet()) {
      int size = each.getValue().size();
      all += size;
      reachable += isReachable(each.getKey(), each.getValue(), now) ? size : 0;
    }
    return (double) reachable / all;
  }

  private boolean isReachable(String dataCentre, List<GatewayInstance> instances, Instant now) {
    if (dataCentre.equals(fleet.self().dataCentre())) {
      return true;
    }
    Instant last = heard.getOrDefault(dataCentre, Instant.MIN);
    if (!now.isBefore(asked.getOrDefault(dataCentre, Instant.MIN).plus(ASK_PAUSE))
        && last.isBefore(now.minus(ASK_AFTER))) {
      asked.put(dataCentre, now);
      ask(instances);
    }
    return !last.isBefore(now.minus(UNREACHABLE_AFTER));
  }

  private void ask(List<GatewayInstance> instances) {
    for (int i = 0; i < Math.min(ASKED, instances.size()); i++) {
      nextAsked = (nextAsked + 1) % instances.size();
      transport.send(instances.get(nextAsked), new PeerMessage.Ping());
    }
  }
}
