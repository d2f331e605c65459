package io.hawthornlb.net.peer.support;

import static io.hawthornlb.net.peer.support.PeerFixture.CLIENT;
import static io.hawthornlb.net.peer.support.PeerFixture.FAST;
import static io.hawthornlb.net.peer.support.PeerFixture.GHALA;
import static io.hawthornlb.net.peer.support.PeerFixture.LONG;
import static io.hawthornlb.net.peer.support.PeerFixture.SERVER;
import static io.hawthornlb.net.peer.support.PeerFixture.SHORT;
import static io.hawthornlb.net.peer.support.PeerFixture.UNGUARDED;
import static io.hawthornlb.net.peer.support.PeerFixture.answers;
import static io.hawthornlb.net.peer.support.PeerFixture.ask;
import static io.hawthornlb.net.peer.support.PeerFixture.failure;
import static io.hawthornlb.net.peer.support.PeerFixture.listed;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.membership.ListedProcess;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.core.peer.PeerUnavailableException;
import io.hawthornlb.net.peer.PeerFrameTooLargeException;
import io.hawthornlb.net.tls.PeerSecurity;
import io.hawthornlb.net.tls.support.PlainPeerSecurity;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class NettyPeerTransportTest {

  private static final PeerSecurity PLAIN = new PlainPeerSecurity();

  private final PeerFixture fixture = new PeerFixture();

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  @Test
  void answersRequestsAndNamesTheSender() {
    NettyPeerServer server = fixture.server(PLAIN);
    NettyPeerClient client = fixture.client(PLAIN, FAST, server.address());

    assertEquals(new Pong(CLIENT, "a"), ask(client, SERVER, "a", LONG).join());
    assertEquals(Set.of(SERVER), client.reachable());
  }

  @Test
  void failsRequestsThatHaveNoAnswer() {
    NettyPeerServer server = fixture.server(PLAIN);
    NettyPeerClient client = fixture.client(PLAIN, FAST, server.address());

    assertTrue(failure(ask(client, SERVER, "fail", LONG)).getMessage().contains("handler failed"));
    assertTrue(failure(ask(client, SERVER, "null", LONG)).getMessage().contains("no answer"));
    assertTrue(failure(ask(client, SERVER, "never", SHORT)).getMessage().contains("timeout"));
    CompletableFuture<PeerMessage> unhandled =
        client.request(SERVER, new Pong(CLIENT, "x"), LONG).toCompletableFuture();
    assertTrue(failure(unhandled).getMessage().contains("no handler"));
    assertTrue(answers(client));
  }

  // Every request to one peer times out, for good, while all other peers reach it: a middlebox has
  // lost track of the one open connection, so writes succeed and nothing comes back. Probes must
  // find it, fail what waits, and go on over a new connection.
  @Test
  void findsSilentConnectionsAndReconnects() throws Exception {
    NettyPeerServer server = fixture.server(PLAIN);
    ForwardingProxy proxy = fixture.keep(new ForwardingProxy(server.address()));
    NettyPeerClient client = fixture.client(PLAIN, FAST, proxy.address());
    assertTrue(ask(client, SERVER, "before", LONG).join() instanceof Pong);

    proxy.silenceOpenConnections();
    Throwable cause = failure(ask(client, SERVER, "during", LONG));

    assertInstanceOf(PeerUnavailableException.class, cause);
    assertTrue(cause.getMessage().contains("silent"), cause.getMessage());
    await().atMost(LONG).until(() -> answers(client));
    assertTrue(proxy.connections() > 1);
  }

  // The same story with the probes out: the client never notices, although a new connection to the
  // same address is answered.
  @Test
  void withoutProbesSilentConnectionsStay() throws Exception {
    NettyPeerServer server = fixture.server(PLAIN);
    ForwardingProxy proxy = fixture.keep(new ForwardingProxy(server.address()));
    NettyPeerClient client = fixture.client(PLAIN, UNGUARDED, proxy.address());
    assertTrue(ask(client, SERVER, "before", LONG).join() instanceof Pong);

    proxy.silenceOpenConnections();

    for (int i = 0; i < 5; i++) {
      assertFalse(answers(client));
    }
    NettyPeerClient fresh = fixture.client(PLAIN, UNGUARDED, proxy.address());
    assertTrue(ask(fresh, SERVER, "new", LONG).join() instanceof Pong);
  }

  @Test
  void reconnectsWhenThePeerComesBack() {
    NettyPeerServer server = fixture.server(PLAIN);
    InetSocketAddress address = server.address();
    NettyPeerClient client = fixture.client(PLAIN, FAST, address);
    assertTrue(ask(client, SERVER, "a", LONG).join() instanceof Pong);

    CompletableFuture<PeerMessage> inFlight = ask(client, SERVER, "never", LONG);
    server.close();
    assertInstanceOf(PeerUnavailableException.class, failure(inFlight));
    await().atMost(LONG).until(() -> client.reachable().isEmpty());

    fixture.server(SERVER, PLAIN, address);
    await().atMost(LONG).until(() -> answers(client));
  }

  // An instance is replaced and its successor gets the same address. The lagging list still names
  // the old one there; messages for it must not be answered by the successor.
  @Test
  void refusesAnotherInstanceAtTheAddress() {
    NettyPeerServer server = fixture.server(PLAIN);
    InstanceId gone = new InstanceId("gone");
    NettyPeerClient client = fixture.client(PLAIN, FAST, List.of(listed(gone, server.address())));

    Throwable cause = failure(ask(client, gone, "a", LONG));

    assertTrue(cause.getMessage().contains("another instance, entry-2"), cause.getMessage());
    assertEquals(Set.of(), client.reachable());
  }

  @Test
  void followsTheList() {
    NettyPeerServer first = fixture.server(PLAIN);
    NettyPeerServer second = fixture.server(PLAIN);
    NettyPeerClient client = fixture.client(PLAIN, FAST, first.address());
    assertTrue(ask(client, SERVER, "a", LONG).join() instanceof Pong);

    client.updatePeers(List.of());
    assertTrue(failure(ask(client, SERVER, "b", LONG)).getMessage().contains("not listed"));
    await().atMost(LONG).until(() -> client.reachable().isEmpty());

    client.updatePeers(List.of(listed(SERVER, second.address()), listed(CLIENT, first.address())));
    assertTrue(ask(client, SERVER, "c", LONG).join() instanceof Pong);
    first.close();
    assertTrue(ask(client, SERVER, "d", LONG).join() instanceof Pong);
  }

  @Test
  void connectsOnDemandAndLetsUnusedConnectionsGo() {
    NettyPeerServer server = fixture.server(PLAIN);
    NettyPeerClient client =
        fixture.client(PLAIN, FAST, List.of(listed(SERVER, server.address())), entries -> Set.of());
    assertEquals(Set.of(), client.reachable());

    assertTrue(ask(client, SERVER, "a", LONG).join() instanceof Pong);
    await().atMost(LONG).until(() -> client.reachable().isEmpty());
    assertTrue(ask(client, SERVER, "b", LONG).join() instanceof Pong);
  }

  @Test
  void keepsABoundedNumberOfPeersNearbyFirst() {
    List<ListedProcess> entries = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      String place = i < 5 ? "ghala" : "ruwi";
      ListedProcess entry = listed(new InstanceId("e-" + i), new InetSocketAddress("127.0.0.1", 1));
      entries.add(
          new ListedProcess(
              entry.id(),
              entry.kind(),
              entry.service(),
              new DataCentre(place),
              entry.address(),
              entry.state()));
    }

    Set<InstanceId> kept = new NearbyPeerSelector(CLIENT, GHALA, 8).select(entries);
    Set<InstanceId> others = new NearbyPeerSelector(SERVER, GHALA, 8).select(entries);

    assertEquals(8, kept.size());
    for (int i = 0; i < 5; i++) {
      assertTrue(kept.contains(new InstanceId("e-" + i)));
    }
    assertNotEquals(kept, others);
  }

  @Test
  void plainConnectionsStayOnLoopback() {
    InetSocketAddress open = new InetSocketAddress("0.0.0.0", 0);
    assertThrows(IllegalArgumentException.class, () -> fixture.server(SERVER, PLAIN, open));

    NettyPeerClient client = fixture.client(PLAIN, FAST, new InetSocketAddress("192.0.2.1", 4_000));
    assertTrue(failure(ask(client, SERVER, "a", LONG)).getMessage().contains("not listed"));
  }

  @Test
  void refusesMessagesOverTheLimitAndKeepsTheConnection() {
    NettyPeerServer server = fixture.server(PLAIN);
    NettyPeerClient client = fixture.client(PLAIN, FAST, server.address());
    String large = "x".repeat(FAST.frameLimit());

    assertThrows(PeerFrameTooLargeException.class, () -> ask(client, SERVER, large, LONG));
    assertThrows(PeerFrameTooLargeException.class, () -> client.send(SERVER, new Ping(large)));
    assertTrue(ask(client, SERVER, "a", LONG).join() instanceof Pong);
  }

  // A broken or hostile peer announces a frame of two gigabytes. Buffering it would end the
  // process; the connection must be closed at the header, and others must not notice.
  @Test
  void closesConnectionsWithOversizedFrames() throws IOException {
    NettyPeerServer server = fixture.server(PLAIN);
    NettyPeerClient client = fixture.client(PLAIN, FAST, server.address());
    assertTrue(ask(client, SERVER, "a", LONG).join() instanceof Pong);

    try (Socket socket = new Socket(server.address().getAddress(), server.address().getPort())) {
      socket.setSoTimeout((int) LONG.toMillis());
      byte[] header = ByteBuffer.allocate(4).putInt(Integer.MAX_VALUE).array();
      socket.getOutputStream().write(header);
      assertEquals(-1, socket.getInputStream().read());
    }
    assertTrue(ask(client, SERVER, "b", LONG).join() instanceof Pong);
  }

  // One peer stops reading and this instance keeps sending to it: buffered frames would grow until
  // memory ends. Above the limit requests must fail at once.
  @Test
  void refusesRequestsToPeersThatDoNotRead() throws Exception {
    ServerSocket listening = fixture.keep(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
    InetSocketAddress address = (InetSocketAddress) listening.getLocalSocketAddress();
    NettyPeerClient client = fixture.client(PLAIN, UNGUARDED, address);
    Socket accepted = fixture.keep(listening.accept());
    byte[] hello = PeerFrameCodec.encode(PeerHello.frame(SERVER));
    accepted.getOutputStream().write(ByteBuffer.allocate(4).putInt(hello.length).array());
    accepted.getOutputStream().write(hello);
    await().atMost(LONG).until(() -> client.reachable().contains(SERVER));

    String text = "x".repeat(32 << 10);
    CompletableFuture<PeerMessage> last = ask(client, SERVER, text, LONG);
    for (int i = 0; i < 900 && !last.isDone(); i++) {
      last = ask(client, SERVER, text, LONG);
    }

    assertTrue(failure(last).getMessage().contains("congested"));
  }
}
