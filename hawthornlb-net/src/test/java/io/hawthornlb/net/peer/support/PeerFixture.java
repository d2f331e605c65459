package io.hawthornlb.net.peer.support;

import io.hawthornlb.core.membership.ListedKind;
import io.hawthornlb.core.membership.ListedProcess;
import io.hawthornlb.core.membership.ListedState;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.net.codec.MessagePackCodec;
import io.hawthornlb.net.codec.TypeRegistry;
import io.hawthornlb.net.peer.PeerHandlerRegistry;
import io.hawthornlb.net.peer.PeerNode;
import io.hawthornlb.net.peer.PeerOptions;
import io.hawthornlb.net.peer.PeerSelector;
import io.hawthornlb.net.tls.PeerSecurity;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** Creates peer servers that respond to pings, and peer clients, and closes them all together. */
final class PeerFixture implements AutoCloseable {

  static final InstanceId CLIENT = new InstanceId("entry-1");
  static final InstanceId SERVER = new InstanceId("entry-2");
  static final DataCentre GHALA = new DataCentre("ghala");
  static final Duration LONG_TIMEOUT = Duration.ofSeconds(20);
  static final Duration SHORT_TIMEOUT = Duration.ofMillis(200);

  static final PeerOptions FAST =
      new PeerOptions(
          Duration.ofMillis(100),
          Duration.ofSeconds(2),
          Duration.ofSeconds(5),
          Duration.ofMillis(20),
          Duration.ofMillis(100),
          Duration.ofMillis(100),
          64 << 10,
          256 << 10,
          1_000);

  private static final int MANY = 1_000;

  /** Options without effective probes: no connection is probed during a test. */
  static final PeerOptions WITHOUT_PROBES =
      FAST.withProbes(Duration.ofHours(1), Duration.ofHours(2));

  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final ExecutorService handlerThread = Executors.newSingleThreadExecutor();
  private final List<AutoCloseable> open = new ArrayList<>();

  PeerNode node(InstanceId self, PeerSecurity security, PeerOptions options) {
    TypeRegistry<PeerMessage> types =
        TypeRegistry.<PeerMessage>builder()
            .register("ping", Ping.class)
            .register("pong", Pong.class)
            .build();
    return new PeerNode(self, new MessagePackCodec<>(types), security, options, eventLoops);
  }

  NettyPeerServer server(PeerSecurity security) {
    return server(SERVER, security, new InetSocketAddress("127.0.0.1", 0));
  }

  NettyPeerServer server(InstanceId self, PeerSecurity security, InetSocketAddress address) {
    PeerHandlerRegistry handlers =
        PeerHandlerRegistry.builder().register(Ping.class, PeerFixture::pong).build();
    PeerNode node = node(self, security, FAST);
    return keep(new NettyPeerServer(node, address, handlers, handlerThread));
  }

  private static CompletableFuture<PeerMessage> pong(InstanceId sender, Ping ping) {
    return switch (ping.text()) {
      case "never" -> new CompletableFuture<>();
      case "fail" ->
          CompletableFuture.failedFuture(new IllegalStateException("simulated handler failure"));
      case "null" -> CompletableFuture.completedFuture(null);
      default -> CompletableFuture.completedFuture(new Pong(sender, ping.text()));
    };
  }

  NettyPeerClient client(PeerSecurity security, PeerOptions options, InetSocketAddress address) {
    return client(security, options, List.of(listed(SERVER, address)));
  }

  NettyPeerClient client(PeerSecurity security, PeerOptions options, List<ListedProcess> peers) {
    return client(security, options, peers, new NearbyPeerSelector(CLIENT, GHALA, MANY));
  }

  NettyPeerClient client(
      PeerSecurity security,
      PeerOptions options,
      List<ListedProcess> peers,
      PeerSelector selector) {
    PeerNode node = node(CLIENT, security, options);
    return keep(new NettyPeerClient(node, peers, selector, new Random(7)));
  }

  <T extends AutoCloseable> T keep(T closeable) {
    open.add(closeable);
    return closeable;
  }

  static ListedProcess listed(InstanceId id, InetSocketAddress address) {
    return new ListedProcess(
        id.value(),
        ListedKind.ENTRY,
        Optional.empty(),
        GHALA,
        address.getAddress().getHostAddress() + ":" + address.getPort(),
        ListedState.LIVE);
  }

  static CompletableFuture<PeerMessage> sendPing(
      NettyPeerClient client, InstanceId target, String text, Duration timeout) {
    return client.request(target, new Ping(text), timeout).toCompletableFuture();
  }

  /** Returns whether the server responds now. */
  static boolean responds(NettyPeerClient client) {
    try {
      return sendPing(client, SERVER, "hello", SHORT_TIMEOUT).join() instanceof Pong;
    } catch (CompletionException expected) {
      return false;
    }
  }

  /** Returns the cause of a request that must fail. */
  static Throwable failure(CompletableFuture<PeerMessage> request) {
    try {
      throw new AssertionError(
          "expected a failure, but got the response " + request.get(60, TimeUnit.SECONDS));
    } catch (Exception e) {
      return e.getCause();
    }
  }

  @Override
  public void close() throws Exception {
    for (int i = open.size() - 1; i >= 0; i--) {
      open.get(i).close();
    }
    handlerThread.shutdownNow();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }
}
