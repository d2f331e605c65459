package io.hawthornlb.gateway.relay;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.RecordingEventLog;
import io.hawthornlb.gateway.http.HttpCall;
import io.hawthornlb.gateway.http.HttpCallException;
import io.hawthornlb.gateway.http.HttpCaller;
import io.hawthornlb.gateway.http.HttpReply;
import io.hawthornlb.gateway.peer.GatewayInstance;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class TcpRelayTransportTest {

  private final EventLoop loop =
      (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  private final TcpRelayTransport transport = new TcpRelayTransport(loop);
  private final InetSocketAddress store = new InetSocketAddress("127.0.0.1", 4_711);
  private final List<HttpCall> storeCalls = new ArrayList<>();

  @AfterEach
  void end() {
    loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @Test
  void passesCallsToThePeersStoreAndRepliesBack() throws IOException {
    GatewayInstance peer =
        serve(
            call -> {
              storeCalls.add(call);
              byte[] body = ("re: " + new String(call.body())).getBytes();
              return CompletableFuture.completedFuture(new HttpReply(200, body));
            },
            false);
    HttpReply first = call(peer, "one", Duration.ofSeconds(2)).join();
    HttpReply second = call(peer, "two", Duration.ofSeconds(2)).join();
    assertEquals("re: one", new String(first.body()));
    assertEquals("re: two", new String(second.body()));
    assertEquals(store, storeCalls.get(0).address());
    assertEquals("/path?query", storeCalls.get(0).path());
    assertEquals(Map.of("Type", "t"), storeCalls.get(0).headers());
    assertArrayEquals("one".getBytes(), storeCalls.get(0).body());
  }

  @Test
  void reportsWhetherACallMayHaveBeenCarriedOut() throws IOException {
    GatewayInstance unknownOutcome =
        serve(call -> CompletableFuture.failedFuture(new HttpCallException("late", false)), false);
    assertFalse(failure(unknownOutcome, Duration.ofSeconds(2)).unsent());
    GatewayInstance unsent =
        serve(
            call -> CompletableFuture.failedFuture(new HttpCallException("unavailable", true)),
            false);
    assertTrue(failure(unsent, Duration.ofSeconds(2)).unsent());
  }

  /** Checks that a holder that cannot reach the store replies from the jobs that it has read. */
  @Test
  void answersCallsAboutJobsWhileTheStoreIsUnavailable() throws IOException {
    GatewayInstance holder =
        serve(
            call ->
                CompletableFuture.failedFuture(
                    new IllegalStateException("unexpected call to the store")),
            true);
    HttpReply reply = call(holder, RelayTarget.JOBS, "job", Duration.ofSeconds(2)).join();
    assertEquals("job", new String(reply.body()));
    assertEquals(Map.of("Retry-After", "0.40"), reply.headers());
  }

  /**
   * Guards against failing all calls of an instance to a holder that does reply. One call had taken
   * too long, and the link was closed as silent with all calls on it.
   */
  @Test
  void keepsALinkOnWhichOneCallIsSlow() throws IOException {
    List<CompletableFuture<HttpReply>> replies = new ArrayList<>();
    GatewayInstance peer =
        serve(
            call -> {
              CompletableFuture<HttpReply> reply = new CompletableFuture<>();
              replies.add(reply);
              if (!new String(call.body()).equals("slow")) {
                long delay = new String(call.body()).equals("later") ? 500 : 0;
                loop.schedule(
                    () -> reply.complete(new HttpReply(200, call.body())),
                    delay,
                    TimeUnit.MILLISECONDS);
              }
              return reply;
            },
            false);
    call(peer, "first", Duration.ofSeconds(2)).join();
    CompletableFuture<HttpReply> slow = call(peer, "slow", Duration.ofMillis(100));
    CompletableFuture<HttpReply> later = call(peer, "later", Duration.ofSeconds(2));
    call(peer, "quick", Duration.ofSeconds(2)).join();
    assertThrows(CompletionException.class, slow::join);
    assertEquals("later", new String(later.join().body()));
  }

  /**
   * Guards against two gateways that cannot reach the store and pass a call to each other again and
   * again.
   */
  @Test
  void refusesStoreCallsWhileTheStoreIsUnavailable() throws IOException {
    GatewayInstance peer =
        serve(
            call ->
                CompletableFuture.failedFuture(
                    new IllegalStateException("unexpected call to the store")),
            true);
    assertTrue(failure(peer, Duration.ofSeconds(2)).unsent());
  }

  /**
   * Guards against a job that is accepted a second late or refused, because its gateway waits for a
   * frozen peer over a link that stays open.
   */
  @Test
  void failsACallToASilentPeerInTimeAndOpensAnotherLink() throws IOException {
    try (ServerSocket frozen = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      GatewayInstance peer = instance(frozen.getLocalPort());
      assertFalse(failure(peer, Duration.ofMillis(50)).unsent());
      assertFalse(failure(peer, Duration.ofMillis(50)).unsent());
      frozen.setSoTimeout(1_000);
      frozen.accept().close();
      frozen.accept().close();
    }
  }

  @Test
  void reportsThatACallWasNotSentWhenThePeerIsGone() throws IOException {
    assertTrue(failure(instance(freePort()), Duration.ofSeconds(2)).unsent());
  }

  private GatewayInstance serve(HttpCaller caller, boolean unavailable) throws IOException {
    int port = freePort();
    new RelayServer(caller, () -> store, () -> unavailable, new RecordingEventLog())
        .bind(
            loop,
            new InetSocketAddress("127.0.0.1", port),
            call ->
                CompletableFuture.completedFuture(
                    new HttpReply(200, Map.of("Retry-After", "0.40"), call.body())));
    return instance(port);
  }

  private HttpCallException failure(GatewayInstance peer, Duration timeout) {
    CompletionException failure =
        assertThrows(CompletionException.class, () -> call(peer, "x", timeout).join());
    return assertInstanceOf(HttpCallException.class, failure.getCause());
  }

  private CompletableFuture<HttpReply> call(GatewayInstance peer, String body, Duration timeout) {
    return call(peer, RelayTarget.STORE, body, timeout);
  }

  private CompletableFuture<HttpReply> call(
      GatewayInstance peer, RelayTarget target, String body, Duration timeout) {
    HttpCall call =
        new HttpCall(
            store,
            "POST",
            "/path?query",
            Map.of("Type", "t"),
            body.getBytes(StandardCharsets.UTF_8),
            timeout);
    CompletableFuture<HttpReply> result = new CompletableFuture<>();
    loop.execute(
        () ->
            transport
                .call(peer, target, call)
                .whenComplete(
                    (reply, failure) -> {
                      if (failure == null) {
                        result.complete(reply);
                      } else {
                        result.completeExceptionally(failure);
                      }
                    }));
    return result;
  }

  private static GatewayInstance instance(int port) {
    return new GatewayInstance("p", "p~1", new InetSocketAddress("127.0.0.1", port), "a");
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }
}
