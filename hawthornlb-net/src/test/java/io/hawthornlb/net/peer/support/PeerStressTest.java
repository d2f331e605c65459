package io.hawthornlb.net.peer.support;

import static io.hawthornlb.net.peer.support.PeerFixture.CLIENT;
import static io.hawthornlb.net.peer.support.PeerFixture.FAST;
import static io.hawthornlb.net.peer.support.PeerFixture.LONG;
import static io.hawthornlb.net.peer.support.PeerFixture.SERVER;
import static io.hawthornlb.net.peer.support.PeerFixture.ask;
import static io.hawthornlb.net.peer.support.PeerFixture.listed;
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

  // While many callers ask at once, the peer moves between two addresses and connections go silent.
  // Answers are then late, lost or out of order; each caller must get its own answer or a failure,
  // and nobody may wait for ever.
  @Test
  void eachCallerGetsItsOwnAnswerOrAFailure() throws Exception {
    try (PeerFixture fixture = new PeerFixture()) {
      PeerSecurity plain = new PlainPeerSecurity();
      NettyPeerServer first = fixture.server(plain);
      NettyPeerServer second = fixture.server(plain);
      ForwardingProxy proxy = fixture.keep(new ForwardingProxy(second.address()));
      NettyPeerClient client = fixture.client(plain, FAST, first.address());
      AtomicInteger answered = new AtomicInteger();
      ExecutorService threads = Executors.newFixedThreadPool(THREADS);
      List<Future<?>> callers = new ArrayList<>();
      for (int t = 0; t < THREADS; t++) {
        String name = "caller-" + t + "-";
        callers.add(threads.submit(() -> askInTurn(client, name, answered)));
      }
      for (int i = 0; i < 50; i++) {
        client.updatePeers(List.of(listed(SERVER, proxy.address())));
        proxy.silenceOpenConnections();
        client.updatePeers(List.of(listed(SERVER, first.address())));
      }
      for (Future<?> caller : callers) {
        caller.get();
      }
      threads.shutdownNow();
      assertTrue(answered.get() > 0);
      await().atMost(LONG).until(() -> PeerFixture.answers(client));
    }
  }

  private static void askInTurn(NettyPeerClient client, String name, AtomicInteger answered) {
    for (int i = 0; i < REQUESTS; i++) {
      String text = name + i;
      CompletableFuture<PeerMessage> request = ask(client, SERVER, text, LONG);
      try {
        assertEquals(new Pong(CLIENT, text), request.join());
        answered.incrementAndGet();
      } catch (CompletionException e) {
        assertInstanceOf(PeerUnavailableException.class, e.getCause());
      }
    }
  }
}
