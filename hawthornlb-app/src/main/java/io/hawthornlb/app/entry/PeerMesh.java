package io.hawthornlb.app.entry;

import com.dynatrace.hash4j.hashing.Hashing;
import io.hawthornlb.app.settings.EntrySettings;
import io.hawthornlb.app.settings.PeerSettings;
import io.hawthornlb.app.settings.TlsSettings;
import io.hawthornlb.core.claim.RendezvousHash;
import io.hawthornlb.core.effect.BroadcastScope;
import io.hawthornlb.core.membership.ListedProcess;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerHandler;
import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.core.peer.PeerTransport;
import io.hawthornlb.net.codec.MessagePackCodec;
import io.hawthornlb.net.peer.PeerClient;
import io.hawthornlb.net.peer.PeerHandlerRegistry;
import io.hawthornlb.net.peer.PeerNode;
import io.hawthornlb.net.peer.PeerServer;
import io.hawthornlb.net.peer.support.NearbyPeerSelector;
import io.hawthornlb.net.peer.support.NettyPeerClient;
import io.hawthornlb.net.peer.support.NettyPeerServer;
import io.hawthornlb.net.tls.PeerSecurity;
import io.hawthornlb.net.tls.TlsFiles;
import io.hawthornlb.net.tls.support.MutualTlsPeerSecurity;
import io.hawthornlb.net.tls.support.PlainPeerSecurity;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadLocalRandom;
import org.jspecify.annotations.Nullable;

/** Exchanges messages with the other entry instances of the fleet. */
public final class PeerMesh implements AutoCloseable {

  private static final int THREADS = 2;
  private static final int MAX_CONNECTED_PEERS = 32;

  private final FleetView fleet;
  private final long relayKey;
  private final MessagePackCodec<PeerMessage> codec;
  private final EventLoopGroup eventLoops = new NioEventLoopGroup(THREADS);
  private final PeerNode node;
  private final ConfiguredEntries configured;
  private final PeerClient client;
  private final InetSocketAddress address;
  private @Nullable PeerServer server;
  private @Nullable PeerHandlerRegistry handlers;

  /** Creates a mesh that does not listen for connections yet. */
  public PeerMesh(EntrySettings settings, FleetView fleet, MessagePackCodec<PeerMessage> codec) {
    this.fleet = fleet;
    this.relayKey = Hashing.wyhashFinal4().hashCharsToLong(fleet.self().value());
    this.codec = codec;
    PeerSettings peers = settings.peers();
    this.node =
        new PeerNode(
            fleet.self(), codec, security(peers.tls(), eventLoops), peers.options(), eventLoops);
    this.configured = new ConfiguredEntries(peers.knownProcesses());
    this.client =
        new NettyPeerClient(
            node,
            peers.knownProcesses(),
            new NearbyPeerSelector(fleet.self(), fleet.dataCentre(), MAX_CONNECTED_PEERS),
            new SharedRandom());
    this.address = new InetSocketAddress(peers.address().host(), peers.address().port());
  }

  /** Starts to listen, and passes received messages to their handlers on an executor. */
  public void start(PeerHandlerRegistry.Builder builder, Executor executor) {
    PeerHandlerRegistry registry =
        builder.register(RelayedMessage.class, new RelayHandler()).build();
    handlers = registry;
    server = new NettyPeerServer(node, address, registry, executor);
  }

  /** Returns the host and port to announce to peers. */
  public String listeningAddress() {
    PeerServer started = server;
    if (started == null) {
      throw new IllegalStateException("the peer mesh has not been started");
    }
    return address.getAddress().getHostAddress() + ":" + started.address().getPort();
  }

  /** Returns the transport for messages to single peers. */
  public PeerTransport transport() {
    return client;
  }

  /** Sends a message. A message to this instance itself is handled before this method returns. */
  public void send(InstanceId target, PeerMessage message) {
    if (target.equals(fleet.self())) {
      handle(target, message);
    } else {
      client.send(target, message);
    }
  }

  /** Sets the peers from a list of the platform, extended by the configured entry instances. */
  public void update(List<ListedProcess> processes) {
    client.updatePeers(configured.complete(processes));
  }

  /**
   * Sends a message to every other entry instance within a scope.
   *
   * <p>In each other data centre, one entry instance receives the message and relays it to the
   * others there. So the links between data centres carry the message only once.
   */
  public void broadcast(PeerMessage message, BroadcastScope scope) {
    broadcastLocally(message);
    if (scope == BroadcastScope.FLEET) {
      RelayedMessage relayed = new RelayedMessage(codec.encode(message));
      for (DataCentre other : fleet.dataCentres()) {
        if (!other.equals(fleet.dataCentre())) {
          relay(other).ifPresent(peer -> client.send(peer, relayed));
        }
      }
    }
  }

  @Override
  public void close() {
    client.close();
    PeerServer started = server;
    if (started != null) {
      started.close();
    }
    eventLoops.shutdownGracefully();
  }

  private void broadcastLocally(PeerMessage message) {
    for (InstanceId peer : fleet.in(fleet.dataCentre())) {
      if (!peer.equals(fleet.self())) {
        client.send(peer, message);
      }
    }
  }

  private void handle(InstanceId sender, PeerMessage message) {
    PeerHandlerRegistry registry = handlers;
    if (registry != null) {
      registry.handler(message.getClass()).ifPresent(handler -> handler.handle(sender, message));
    }
  }

  /**
   * Returns the entry instance of a data centre that relays the messages of this instance there.
   * Prefers a reachable instance.
   *
   * <p>Rendezvous hashing spreads the senders over the relays, so that no instance relays the
   * messages of the whole fleet.
   */
  private Optional<InstanceId> relay(DataCentre target) {
    Set<InstanceId> reachable = client.reachable();
    List<InstanceId> ranked = new RendezvousHash(fleet.in(target)).ranked(relayKey);
    return ranked.stream()
        .filter(reachable::contains)
        .findFirst()
        .or(() -> ranked.stream().findFirst());
  }

  private static PeerSecurity security(TlsSettings tls, EventLoopGroup timer) {
    Optional<TlsFiles> files = tls.files();
    if (files.isEmpty()) {
      return new PlainPeerSecurity();
    }
    MutualTlsPeerSecurity security = new MutualTlsPeerSecurity(files.get());
    security.reloadEvery(tls.reload(), timer.next());
    return security;
  }

  /** A random generator that delegates to the generator of the calling thread. */
  private static final class SharedRandom implements java.util.random.RandomGenerator {

    @Override
    public long nextLong() {
      return ThreadLocalRandom.current().nextLong();
    }
  }

  private final class RelayHandler implements PeerHandler<RelayedMessage> {

    @Override
    public CompletionStage<PeerMessage> handle(InstanceId sender, RelayedMessage relayed) {
      codec.decode(relayed.content()).ifPresent(message -> deliver(sender, message));
      return CompletableFuture.completedFuture(null);
    }

    private void deliver(InstanceId sender, PeerMessage message) {
      broadcastLocally(message);
      PeerMesh.this.handle(sender, message);
    }
  }
}
