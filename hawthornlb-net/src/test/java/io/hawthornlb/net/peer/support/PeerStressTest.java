package io.hawthornlb.net.peer.support;

import static io.hawthornlb.net.peer.support.PeerFixture.CLIENT;
import static io.hawthornlb.net.peer.support.PeerFixture.FAST;
import static io.hawthornlb.net.peer.support.PeerFixture.LONG_TIMEOUT;
import static io.hawthornlb.net.peer.support.PeerFixture.SERVER;
import static io.hawthornlb.net.peer.support.PeerFixture.listed;
import static io.hawthornlb.net.peer.support.PeerFixture.sendPing;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.core.peer.PeerUnavailableException;
import io.hawthornlb.net.tls.PeerSecurity;
import io.hawthornlb.net.tls.support.PlainPeerSecurity;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class PeerStressTest {

  private static final int THREADS = 4;
  private static final int REQUESTS = 500;

  // Guards against responses that reach the wrong caller and requests that never complete. Many
  // callers send requests at once while the peer moves between two addresses and connections become
  // unresponsive. Responses are then late, lost or out of order. Each caller must get its own
  // response or a failure.
  @Test
  void eachCallerGetsItsOwnResponseOrAFailure() throws Exception {
    try (PeerFixture fixture = new PeerFixture()) {
      PeerSecurity plain = new PlainPeerSecurity();
      NettyPeerServer first = fixture.server(plain);
      NettyPeerServer second = fixture.server(plain);
      ForwardingProxy proxy = fixture.keep(new ForwardingProxy(second.address()));
      NettyPeerClient client = fixture.client(plain, FAST, first.address());
      AtomicInteger responseCount = new AtomicInteger();
      ExecutorService threads = Executors.newFixedThreadPool(THREADS);
      List<Future<?>> callers = new ArrayList<>();
      for (int t = 0; t < THREADS; t++) {
        String name = "caller-" + t + "-";
        callers.add(threads.submit(() -> sendPings(client, name, responseCount)));
      }
      for (int i = 0; i < 50; i++) {
        client.updatePeers(List.of(listed(SERVER, proxy.address())));
        proxy.stallOpenConnections();
        client.updatePeers(List.of(listed(SERVER, first.address())));
      }
      for (Future<?> caller : callers) {
        caller.get();
      }
      threads.shutdownNow();
      assertTrue(responseCount.get() > 0);
      await().atMost(LONG_TIMEOUT).until(() -> PeerFixture.responds(client));
    }
  }

  private static void sendPings(NettyPeerClient client, String name, AtomicInteger responseCount) {
    for (int i = 0; i < REQUESTS; i++) {
      String text = name + i;
      CompletableFuture<PeerMessage> request = sendPing(client, SERVER, text, LONG_TIMEOUT);
      try {
        assertEquals(new Pong(CLIENT, text), request.join());
        responseCount.incrementAndGet();
      } catch (CompletionException e) {
        assertInstanceOf(PeerUnavailableException.class, e.getCause());
      }
    }
  }
}
