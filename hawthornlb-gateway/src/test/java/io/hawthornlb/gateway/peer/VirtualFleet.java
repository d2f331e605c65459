package io.hawthornlb.gateway.peer;

import io.hawthornlb.gateway.VirtualLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.Consumer;

/**
 * Gateways in several data centres that send each other datagrams, in virtual time.
 *
 * @param <N> kind of gateway
 */
public abstract class VirtualFleet<N extends VirtualFleet.Node> {

  private static final Duration ONE_WAY = Duration.ofMillis(2);

  public final VirtualLoop time;
  public final Map<String, N> nodes = new TreeMap<>();
  public BiPredicate<Node, Node> reaches = (from, to) -> true;
  public long datagrams;

  protected VirtualFleet(VirtualLoop time) {
    this.time = time;
  }

  /** Creates a gateway that has just started. */
  protected abstract N create(String name, String dataCentre, int boot);

  /** Starts instances that are divided among the data centres in turn. */
  public final void startAll(int instances, int dataCentres) {
    for (int i = 0; i < instances; i++) {
      start("g" + i, "d" + i % dataCentres);
    }
  }

  /** Starts an instance, or starts it again without its memory. */
  public final void start(String name, String dataCentre) {
    N former = nodes.get(name);
    N started = create(name, dataCentre, former == null ? 1 : former.boot + 1);
    nodes.put(name, started);
    for (N each : nodes.values()) {
      each.fleet.put(started.instance());
      started.fleet.put(each.instance());
    }
  }

  public final List<N> alive() {
    return nodes.values().stream().filter(node -> !node.down).toList();
  }

  /** One gateway. */
  public abstract class Node implements PeerTransport {

    public final String name;
    public final String dataCentre;
    public final FleetView fleet;
    public boolean down;
    final int boot;
    private final List<Consumer<PeerCodec.Envelope>> receivers = new ArrayList<>();

    protected Node(String name, String dataCentre, int boot) {
      this.name = name;
      this.dataCentre = dataCentre;
      this.boot = boot;
      this.fleet = new FleetView(instance());
    }

    final GatewayInstance instance() {
      InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
      return new GatewayInstance(name, name + "~" + boot, address, dataCentre);
    }

    @Override
    public void send(GatewayInstance to, PeerMessage message) {
      datagrams++;
      N target = nodes.get(to.name());
      if (!down && reaches.test(this, target)) {
        byte[] bytes = PeerCodec.encode(new PeerCodec.Envelope(name, message));
        Runnable arrival = () -> ((Node) target).arrived(bytes);
        time.loop().schedule(arrival, ONE_WAY.toMillis(), TimeUnit.MILLISECONDS);
      }
    }

    private void arrived(byte[] bytes) {
      if (!down) {
        PeerCodec.Envelope envelope = PeerCodec.decode(bytes);
        receivers.forEach(receiver -> receiver.accept(envelope));
      }
    }

    @Override
    public void onMessage(Consumer<PeerCodec.Envelope> receiver) {
      receivers.add(receiver);
    }
  }
}
