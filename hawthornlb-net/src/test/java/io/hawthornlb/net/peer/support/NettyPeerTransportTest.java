package io.hawthornlb.net.peer.support;

import static io.hawthornlb.net.peer.support.PeerFixture.CLIENT;
import static io.hawthornlb.net.peer.support.PeerFixture.FAST;
import static io.hawthornlb.net.peer.support.PeerFixture.GHALA;
import static io.hawthornlb.net.peer.support.PeerFixture.LONG_TIMEOUT;
import static io.hawthornlb.net.peer.support.PeerFixture.SERVER;
import static io.hawthornlb.net.peer.support.PeerFixture.SHORT_TIMEOUT;
import static io.hawthornlb.net.peer.support.PeerFixture.WITHOUT_PROBES;
import static io.hawthornlb.net.peer.support.PeerFixture.failure;
import static io.hawthornlb.net.peer.support.PeerFixture.listed;
import static io.hawthornlb.net.peer.support.PeerFixture.responds;
import static io.hawthornlb.net.peer.support.PeerFixture.sendPing;
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
  void respondsToRequestsAndIdentifiesSender() {
    NettyPeerServer server = fixture.server(PLAIN);
    NettyPeerClient client = fixture.client(PLAIN, FAST, server.address());

    assertEquals(new Pong(CLIENT, "a"), sendPing(client, SERVER, "a", LONG_TIMEOUT).join());
    assertEquals(Set.of(SERVER), client.reachable());
  }

  @Test
  void failsRequestsWithoutResponse() {
    NettyPeerServer server = fixture.server(PLAIN);
    NettyPeerClient client = fixture.client(PLAIN, FAST, server.address());

    assertTrue(
        failure(sendPing(client, SERVER, "fail", LONG_TIMEOUT))
            .getMessage()
            .contains("handler failed"));
    assertTrue(
        failure(sendPing(client, SERVER, "null", LONG_TIMEOUT)).getMessage().contains("no answer"));
    assertTrue(
        failure(sendPing(client, SERVER, "never", SHORT_TIMEOUT)).getMessage().contains("timeout"));
    CompletableFuture<PeerMessage> unhandled =
        client.request(SERVER, new Pong(CLIENT, "x"), LONG_TIMEOUT).toCompletableFuture();
    assertTrue(failure(unhandled).getMessage().contains("no handler"));
    assertTrue(responds(client));
  }

  // Guards against a peer that stays unreachable on a half-open connection. A middlebox has lost
  // the state of the open connection, so writes succeed but nothing comes back. Every request to
  // the peer times out, although all other peers reach it. Probes must detect this, fail the
  // waiting requests and open a new connection.
  @Test
  void detectsUnresponsiveConnectionAndReconnects() throws Exception {
    NettyPeerServer server = fixture.server(PLAIN);
    ForwardingProxy proxy = fixture.keep(new ForwardingProxy(server.address()));
    NettyPeerClient client = fixture.client(PLAIN, FAST, proxy.address());
    assertTrue(sendPing(client, SERVER, "before", LONG_TIMEOUT).join() instanceof Pong);

    proxy.stallOpenConnections();
    Throwable cause = failure(sendPing(client, SERVER, "during", LONG_TIMEOUT));

    assertInstanceOf(PeerUnavailableException.class, cause);
    assertTrue(cause.getMessage().contains("silent"), cause.getMessage());
    await().atMost(LONG_TIMEOUT).until(() -> responds(client));
    assertTrue(proxy.connections() > 1);
  }

  // Shows that the probes are what detects a half-open connection. Without probes the client keeps
  // using it, although a new connection to the same address works.
  @Test
  void withoutProbesUnresponsiveConnectionIsKept() throws Exception {
    NettyPeerServer server = fixture.server(PLAIN);
    ForwardingProxy proxy = fixture.keep(new ForwardingProxy(server.address()));
    NettyPeerClient client = fixture.client(PLAIN, WITHOUT_PROBES, proxy.address());
    assertTrue(sendPing(client, SERVER, "before", LONG_TIMEOUT).join() instanceof Pong);

    proxy.stallOpenConnections();

    for (int i = 0; i < 5; i++) {
      assertFalse(responds(client));
    }
    NettyPeerClient fresh = fixture.client(PLAIN, WITHOUT_PROBES, proxy.address());
    assertTrue(sendPing(fresh, SERVER, "new", LONG_TIMEOUT).join() instanceof Pong);
  }

  @Test
  void reconnectsWhenPeerIsAvailableAgain() {
    NettyPeerServer server = fixture.server(PLAIN);
    InetSocketAddress address = server.address();
    NettyPeerClient client = fixture.client(PLAIN, FAST, address);
    assertTrue(sendPing(client, SERVER, "a", LONG_TIMEOUT).join() instanceof Pong);

    CompletableFuture<PeerMessage> inFlight = sendPing(client, SERVER, "never", LONG_TIMEOUT);
    server.close();
    assertInstanceOf(PeerUnavailableException.class, failure(inFlight));
    await().atMost(LONG_TIMEOUT).until(() -> client.reachable().isEmpty());

    fixture.server(SERVER, PLAIN, address);
    await().atMost(LONG_TIMEOUT).until(() -> responds(client));
  }

  // Guards against responses from the wrong instance. An instance is replaced, and its successor
  // gets the same address. The outdated list still has the old instance at that address. The
  // successor must not respond to messages for the old instance.
  @Test
  void rejectsAnotherInstanceAtSameAddress() {
    NettyPeerServer server = fixture.server(PLAIN);
    InstanceId replaced = new InstanceId("gone");
    NettyPeerClient client =
        fixture.client(PLAIN, FAST, List.of(listed(replaced, server.address())));

    Throwable cause = failure(sendPing(client, replaced, "a", LONG_TIMEOUT));

    assertTrue(cause.getMessage().contains("another instance, entry-2"), cause.getMessage());
    assertEquals(Set.of(), client.reachable());
  }

  @Test
  void followsUpdatedPeerList() {
    NettyPeerServer first = fixture.server(PLAIN);
    NettyPeerServer second = fixture.server(PLAIN);
    NettyPeerClient client = fixture.client(PLAIN, FAST, first.address());
    assertTrue(sendPing(client, SERVER, "a", LONG_TIMEOUT).join() instanceof Pong);

    client.updatePeers(List.of());
    assertTrue(
        failure(sendPing(client, SERVER, "b", LONG_TIMEOUT)).getMessage().contains("not listed"));
    await().atMost(LONG_TIMEOUT).until(() -> client.reachable().isEmpty());

    client.updatePeers(List.of(listed(SERVER, second.address()), listed(CLIENT, first.address())));
    assertTrue(sendPing(client, SERVER, "c", LONG_TIMEOUT).join() instanceof Pong);
    first.close();
    assertTrue(sendPing(client, SERVER, "d", LONG_TIMEOUT).join() instanceof Pong);
  }

  @Test
  void connectsOnDemandAndClosesUnusedConnections() {
    NettyPeerServer server = fixture.server(PLAIN);
    NettyPeerClient client =
        fixture.client(PLAIN, FAST, List.of(listed(SERVER, server.address())), entries -> Set.of());
    assertEquals(Set.of(), client.reachable());

    assertTrue(sendPing(client, SERVER, "a", LONG_TIMEOUT).join() instanceof Pong);
    await().atMost(LONG_TIMEOUT).until(() -> client.reachable().isEmpty());
    assertTrue(sendPing(client, SERVER, "b", LONG_TIMEOUT).join() instanceof Pong);
  }

  @Test
  void selectsBoundedNumberOfPeersNearbyFirst() {
    List<ListedProcess> entries = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      String dataCentre = i < 5 ? "ghala" : "ruwi";
      ListedProcess entry = listed(new InstanceId("e-" + i), new InetSocketAddress("127.0.0.1", 1));
      entries.add(
          new ListedProcess(
              entry.id(),
              entry.kind(),
              entry.service(),
              new DataCentre(dataCentre),
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
    assertTrue(
        failure(sendPing(client, SERVER, "a", LONG_TIMEOUT)).getMessage().contains("not listed"));
  }

  @Test
  void rejectsTooLargeMessagesAndKeepsConnection() {
    NettyPeerServer server = fixture.server(PLAIN);
    NettyPeerClient client = fixture.client(PLAIN, FAST, server.address());
    String large = "x".repeat(FAST.frameLimit());

    assertThrows(
        PeerFrameTooLargeException.class, () -> sendPing(client, SERVER, large, LONG_TIMEOUT));
    assertThrows(PeerFrameTooLargeException.class, () -> client.send(SERVER, new Ping(large)));
    assertTrue(sendPing(client, SERVER, "a", LONG_TIMEOUT).join() instanceof Pong);
  }

  // Guards against memory exhaustion by a broken or hostile peer that announces a frame of 2 GiB.
  // The server must close the connection when it has read the length header. Other connections must
  // not be affected.
  @Test
  void closesConnectionsWithOversizedFrames() throws IOException {
    NettyPeerServer server = fixture.server(PLAIN);
    NettyPeerClient client = fixture.client(PLAIN, FAST, server.address());
    assertTrue(sendPing(client, SERVER, "a", LONG_TIMEOUT).join() instanceof Pong);

    try (Socket socket = new Socket(server.address().getAddress(), server.address().getPort())) {
      socket.setSoTimeout((int) LONG_TIMEOUT.toMillis());
      byte[] header = ByteBuffer.allocate(4).putInt(Integer.MAX_VALUE).array();
      socket.getOutputStream().write(header);
      assertEquals(-1, socket.getInputStream().read());
    }
    assertTrue(sendPing(client, SERVER, "b", LONG_TIMEOUT).join() instanceof Pong);
  }

  // Guards against memory exhaustion by buffered frames when a peer stops reading while this
  // instance keeps sending. Above the write limit, requests must fail at once.
  @Test
  void rejectsRequestsToPeersThatDoNotRead() throws Exception {
    ServerSocket listening = fixture.keep(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
    InetSocketAddress address = (InetSocketAddress) listening.getLocalSocketAddress();
    NettyPeerClient client = fixture.client(PLAIN, WITHOUT_PROBES, address);
    Socket accepted = fixture.keep(listening.accept());
    byte[] hello = PeerFrameCodec.encode(PeerHello.frame(SERVER));
    accepted.getOutputStream().write(ByteBuffer.allocate(4).putInt(hello.length).array());
    accepted.getOutputStream().write(hello);
    await().atMost(LONG_TIMEOUT).until(() -> client.reachable().contains(SERVER));

    String text = "x".repeat(32 << 10);
    CompletableFuture<PeerMessage> last = sendPing(client, SERVER, text, LONG_TIMEOUT);
    for (int i = 0; i < 900 && !last.isDone(); i++) {
      last = sendPing(client, SERVER, text, LONG_TIMEOUT);
    }

    assertTrue(failure(last).getMessage().contains("congested"));
  }
}
