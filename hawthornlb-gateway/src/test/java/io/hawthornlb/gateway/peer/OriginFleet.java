package io.hawthornlb.gateway.peer;

import io.hawthornlb.gateway.RecordingEventLog;
import io.hawthornlb.gateway.VirtualLoop;
import io.hawthornlb.gateway.metric.GatewayMetrics;
import io.hawthornlb.gateway.stream.StreamId;
import io.hawthornlb.gateway.stream.StreamOrigin;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.Consumer;

/** Gateways in several data centres that tell each other where streams began, in virtual time. */
final class OriginFleet {

  private static final Duration ONE_WAY = Duration.ofMillis(2);

  final VirtualLoop time;
  final Map<String, Node> nodes = new TreeMap<>();
  BiPredicate<Node, Node> reaches = (from, to) -> true;
  long datagrams;

  OriginFleet(VirtualLoop time, int instances, int dataCentres) {
    this.time = time;
    for (int i = 0; i < instances; i++) {
      start("g" + i, "d" + i % dataCentres);
    }
  }

  /** Starts an instance, or starts it again without its memory. */
  void start(String name, String dataCentre) {
    Node former = nodes.get(name);
    int boot = former == null ? 1 : former.boot + 1;
    nodes.put(name, new Node(name, dataCentre, boot));
    for (Node each : nodes.values()) {
      each.fleet.put(nodes.get(name).instance());
      nodes.get(name).fleet.put(each.instance());
    }
  }

  List<Node> alive() {
    return nodes.values().stream().filter(node -> !node.down).toList();
  }

  /** Finds a stream at an instance; returns what it was told, at most one element. */
  static List<Optional<StreamOrigin>> find(Node at, StreamId stream) {
    List<Optional<StreamOrigin>> answers = new ArrayList<>();
    at.origins.find(stream, answers::add);
    return answers;
  }

  /** One gateway. */
  final class Node implements PeerTransport {

    final String name;
    final String dataCentre;
    final FleetView fleet;
    final FleetStreamOrigins origins;
    boolean down;
    private final int boot;
    private Consumer<PeerCodec.Envelope> receiver = envelope -> {};

    private Node(String name, String dataCentre, int boot) {
      this.name = name;
      this.dataCentre = dataCentre;
      this.boot = boot;
      this.fleet = new FleetView(instance());
      this.origins =
          new FleetStreamOrigins(
              fleet, this, time.loop(), time, new RecordingEventLog(), new GatewayMetrics());
    }

    GatewayInstance instance() {
      InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
      return new GatewayInstance(name, name + "~" + boot, address, dataCentre);
    }

    @Override
    public void send(GatewayInstance to, PeerMessage message) {
      datagrams++;
      Node target = nodes.get(to.name());
      if (!down && reaches.test(this, target)) {
        byte[] bytes = PeerCodec.encode(new PeerCodec.Envelope(name, message));
        Runnable arrival = () -> target.arrived(bytes);
        time.loop().schedule(arrival, ONE_WAY.toMillis(), TimeUnit.MILLISECONDS);
      }
    }

    private void arrived(byte[] bytes) {
      if (!down) {
        receiver.accept(PeerCodec.decode(bytes));
      }
    }

    @Override
    public void onMessage(Consumer<PeerCodec.Envelope> next) {
      receiver = next;
    }
  }
}
