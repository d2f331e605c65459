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
  private final List<HttpCall> made = new ArrayList<>();

  @AfterEach
  void end() {
    loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @Test
  void bringsCallsToThePeersStoreAndRepliesBack() throws IOException {
    GatewayInstance peer =
        serve(
            call -> {
              made.add(call);
              byte[] body = ("re: " + new String(call.body())).getBytes();
              return CompletableFuture.completedFuture(new HttpReply(200, body));
            },
            false);
    HttpReply first = call(peer, "one", Duration.ofSeconds(2)).join();
    HttpReply second = call(peer, "two", Duration.ofSeconds(2)).join();
    assertEquals("re: one", new String(first.body()));
    assertEquals("re: two", new String(second.body()));
    assertEquals(store, made.get(0).address());
    assertEquals("/path?query", made.get(0).path());
    assertEquals(Map.of("Type", "t"), made.get(0).headers());
    assertArrayEquals("one".getBytes(), made.get(0).body());
  }

  @Test
  void passesOnWhetherACallMayHaveHappened() throws IOException {
    GatewayInstance unsure =
        serve(call -> CompletableFuture.failedFuture(new HttpCallException("late", false)), false);
    assertFalse(failure(unsure, Duration.ofSeconds(2)).unsent());
    GatewayInstance sure =
        serve(call -> CompletableFuture.failedFuture(new HttpCallException("away", true)), false);
    assertTrue(failure(sure, Duration.ofSeconds(2)).unsent());
  }

  /** A holder that does not reach the store answers from the jobs that it has read. */
  @Test
  void answersCallsAboutJobsWhileItDoesNotReachTheStore() throws IOException {
    GatewayInstance holder =
        serve(call -> CompletableFuture.failedFuture(new IllegalStateException("called")), true);
    HttpReply reply = call(holder, RelayTarget.JOBS, "job", Duration.ofSeconds(2)).join();
    assertEquals("job", new String(reply.body()));
    assertEquals(Map.of("Retry-After", "0.40"), reply.headers());
  }

  /**
   * All calls of an instance to a holder fail at once although it answers: one of them took too
   * long, and the link was given up as silent with all that waited on it.
   */
  @Test
  void keepsALinkOnWhichOneCallIsSlow() throws IOException {
    List<CompletableFuture<HttpReply>> answers = new ArrayList<>();
    GatewayInstance peer =
        serve(
            call -> {
              CompletableFuture<HttpReply> answer = new CompletableFuture<>();
              answers.add(answer);
              if (!new String(call.body()).equals("slow")) {
                long delay = new String(call.body()).equals("later") ? 500 : 0;
                loop.schedule(
                    () -> answer.complete(new HttpReply(200, call.body())),
                    delay,
                    TimeUnit.MILLISECONDS);
              }
              return answer;
            },
            false);
    call(peer, "first", Duration.ofSeconds(2)).join();
    CompletableFuture<HttpReply> slow = call(peer, "slow", Duration.ofMillis(100));
    CompletableFuture<HttpReply> later = call(peer, "later", Duration.ofSeconds(2));
    call(peer, "quick", Duration.ofSeconds(2)).join();
    assertThrows(CompletionException.class, slow::join);
    assertEquals("later", new String(later.join().body()));
  }

  /** Two gateways that do not reach the store hand a call to each other again and again. */
  @Test
  void refusesCallsWhileItDoesNotReachTheStoreItself() throws IOException {
    GatewayInstance peer =
        serve(call -> CompletableFuture.failedFuture(new IllegalStateException("called")), true);
    assertTrue(failure(peer, Duration.ofSeconds(2)).unsent());
  }

  /**
   * A job is taken a second late and then refused: its gateway waits for a peer that was frozen,
   * over a link that stays open.
   */
  @Test
  void endsACallToASilentPeerInTimeAndOpensAnotherLink() throws IOException {
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
  void saysThatNothingWasSentWhenThePeerIsGone() throws IOException {
    assertTrue(failure(instance(freePort()), Duration.ofSeconds(2)).unsent());
  }

  private GatewayInstance serve(HttpCaller caller, boolean away) throws IOException {
    int port = freePort();
    new RelayServer(caller, () -> store, () -> away, new RecordingEventLog())
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
