package io.hawthornlb.gateway.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.RecordingEventLog;
import io.hawthornlb.gateway.VirtualLoop;
import io.hawthornlb.gateway.http.HttpCall;
import io.hawthornlb.gateway.http.HttpCallException;
import io.hawthornlb.gateway.http.HttpReply;
import io.hawthornlb.gateway.peer.GatewayInstance;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

class RelayingHttpCallerTest {

  private static final HttpReply SUCCESS = new HttpReply(200, new byte[0]);
  private static final HttpReply REFUSED = new HttpReply(503, new byte[0]);

  private final VirtualLoop time = new VirtualLoop();
  private final List<String> routes = new ArrayList<>();
  private Supplier<CompletionStage<HttpReply>> store = () -> replied(SUCCESS);
  private Supplier<CompletionStage<HttpReply>> byPeer = () -> replied(SUCCESS);
  private final RelayingHttpCaller caller =
      new RelayingHttpCaller(
          call -> attempt("direct", store),
          (peer, target, call) -> attempt(peer.name(), byPeer),
          () -> List.of(peer("a1"), peer("a2"), peer("a3")),
          time,
          new RecordingEventLog());

  /**
   * Guards against jobs that are refused at a third of the gateways for seconds. The store refused
   * these gateways, and none of them called a peer.
   */
  @Test
  void passesARefusedCallToAPeer() {
    store = () -> replied(REFUSED);
    assertEquals(200, status(caller.call(append())));
    assertEquals(List.of("direct", "a1"), routes);
  }

  /**
   * Guards against jobs that are accepted late, because each call waits for a silent store before
   * it goes to a peer.
   */
  @Test
  void triesPeersFirstWhileTheStoreIsUnavailable() {
    store = () -> replied(REFUSED);
    caller.call(append());
    routes.clear();
    caller.call(append());
    assertEquals(List.of("a1"), routes);
    assertTrue(caller.storeUnavailable());
  }

  /**
   * Guards against a job that is written twice, the second time seconds later. The store carried
   * out an append late whose reply was lost, and a peer had been asked to repeat the append.
   */
  @Test
  void doesNotRepeatAnAppendThatMayHaveBeenCarriedOut() {
    store = () -> failed(false);
    CompletionStage<HttpReply> result = caller.call(append());
    assertTrue(result.toCompletableFuture().isCompletedExceptionally());
    assertEquals(List.of("direct"), routes);
  }

  @Test
  void repeatsAReadThatGotNoReply() {
    store = () -> failed(false);
    assertEquals(200, status(caller.call(read())));
    assertEquals(List.of("direct", "a1"), routes);
  }

  /**
   * Guards against a change that takes effect seconds late on most gateways. The store cut all
   * waiting reads at the same time and still answered new ones. Each gateway considered the store
   * unavailable, and all refused one another's calls.
   */
  @Test
  void repeatsACutReadAtTheStore() {
    store = () -> routes.size() == 1 ? cut() : replied(SUCCESS);
    assertEquals(200, status(caller.call(read())));
    assertEquals(List.of("direct", "direct"), routes);
    assertFalse(caller.storeUnavailable());
  }

  @Test
  void triesAPeerIfTheStoreCutsTheRepeatedReadToo() {
    store = RelayingHttpCallerTest::cut;
    assertEquals(200, status(caller.call(read())));
    assertEquals(List.of("direct", "direct", "a1"), routes);
    assertTrue(caller.storeUnavailable());
  }

  /**
   * Guards against repeating an append whose connection closed; the append may have been carried
   * out, also at the second attempt.
   */
  @Test
  void doesNotRepeatAnAppendThatWasCut() {
    store = RelayingHttpCallerTest::cut;
    assertTrue(caller.call(append()).toCompletableFuture().isCompletedExceptionally());
    assertEquals(List.of("direct"), routes);
  }

  /**
   * Guards against a change that is noticed late after an outage. The reply of the read that found
   * the store available was discarded, and its caller had to wait for the next read.
   */
  @Test
  void usesTheReplyOfASuccessfulProbe() {
    store = () -> replied(REFUSED);
    byPeer = () -> failed(true);
    caller.call(read());
    store = () -> replied(SUCCESS);
    routes.clear();
    time.advance(StoreAvailability.MIN_PROBE_INTERVAL);
    assertEquals(200, status(caller.call(read())));
    assertEquals(List.of("direct"), routes);
  }

  /**
   * Guards against a change that is noticed seconds late after an outage. The probe was a read that
   * waited for new records, and meanwhile no call was probed that is answered immediately.
   */
  @Test
  void findsTheStoreAvailableWhileAReadWaits() {
    store = () -> replied(REFUSED);
    byPeer = () -> failed(true);
    caller.call(read());
    time.advance(StoreAvailability.MIN_PROBE_INTERVAL);
    store = CompletableFuture::new;
    caller.call(waitingRead());
    store = () -> replied(SUCCESS);
    routes.clear();
    assertEquals(200, status(caller.call(read())));
    assertEquals(List.of("direct"), routes);
    assertFalse(caller.storeUnavailable());
  }

  /**
   * Guards against sending all calls to peers that refuse them although the store is back, because
   * a call made during the outage failed late.
   */
  @Test
  void ignoresALateFailureOfACallFromAnOutage() {
    CompletableFuture<HttpReply> silent = new CompletableFuture<>();
    store = () -> silent;
    CompletionStage<HttpReply> earlier = caller.call(read());
    store = () -> replied(SUCCESS);
    caller.call(read());
    silent.completeExceptionally(new HttpCallException("No reply in time", false));
    assertEquals(200, status(earlier));
    assertFalse(caller.storeUnavailable());
    routes.clear();
    caller.call(read());
    assertEquals(List.of("direct"), routes);
  }

  /**
   * Guards against sending all calls to peers that refuse them although the store is back, because
   * a probe made during the outage failed late.
   */
  @Test
  void ignoresALateFailureOfAProbeFromAnOutage() {
    CompletableFuture<HttpReply> silent = new CompletableFuture<>();
    store = () -> replied(REFUSED);
    caller.call(read());
    time.advance(StoreAvailability.MIN_PROBE_INTERVAL);
    store = () -> silent;
    caller.call(read());
    time.advance(StoreAvailability.MAX_PROBE_INTERVAL);
    store = () -> replied(SUCCESS);
    caller.call(read());
    assertFalse(caller.storeUnavailable());
    silent.completeExceptionally(new HttpCallException("No reply in time", false));
    assertFalse(caller.storeUnavailable());
  }

  /**
   * Guards against calling a store again and again that has just replied to one call and now
   * refuses another.
   */
  @Test
  void considersTheStoreUnavailableAfterARefusal() {
    CompletableFuture<HttpReply> waiting = new CompletableFuture<>();
    store = () -> waiting;
    caller.call(waitingRead());
    store = () -> replied(SUCCESS);
    caller.call(read());
    waiting.complete(REFUSED);
    assertTrue(caller.storeUnavailable());
  }

  /**
   * Guards against a gateway that calls its peers forever after one outage, which costs each call a
   * hop, because no call probed whether the store is available again.
   */
  @Test
  void returnsToTheStoreOnceItIsAvailable() {
    store = () -> replied(REFUSED);
    caller.call(read());
    store = () -> replied(SUCCESS);
    time.advance(StoreAvailability.MIN_PROBE_INTERVAL);
    caller.call(read());
    assertFalse(caller.storeUnavailable());
    routes.clear();
    caller.call(read());
    assertEquals(List.of("direct"), routes);
  }

  /**
   * Guards against followers that stay in a pause after an outage, although another call of their
   * process has found the store available.
   */
  @Test
  void notifiesListenersOnceWhenTheStoreIsAvailableAgain() {
    caller.onStoreRecovered(() -> routes.add("notified"));
    caller.call(read());
    store = () -> replied(REFUSED);
    caller.call(read());
    store = () -> replied(SUCCESS);
    time.advance(StoreAvailability.MIN_PROBE_INTERVAL);
    routes.clear();
    caller.call(read());
    caller.call(read());
    assertEquals(List.of("direct", "notified", "direct"), routes);
  }

  /**
   * Guards against gateways that flood one another with calls that none of them can make while the
   * store is unavailable to all.
   */
  @Test
  void pausesCallsToPeersAfterNoneCouldHelp() {
    store = () -> replied(REFUSED);
    byPeer = () -> failed(true);
    caller.call(append());
    assertEquals(List.of("direct", "a1", "a2"), routes);
    routes.clear();
    assertTrue(caller.call(append()).toCompletableFuture().isCompletedExceptionally());
    assertEquals(List.of(), routes);
    time.advance(StoreAvailability.PEERS_PAUSE);
    caller.call(append());
    assertEquals(List.of("a1", "a2"), routes);
  }

  @Test
  void prefersThePeerThatSucceededLast() {
    store = () -> replied(REFUSED);
    byPeer = () -> replied(routes.get(routes.size() - 1).equals("a2") ? SUCCESS : REFUSED);
    caller.call(append());
    routes.clear();
    caller.call(append());
    assertEquals(List.of("a2"), routes);
  }

  /**
   * Guards against reporting the outcome of an earlier attempt in place of the last: a reply of 503
   * would say "not done".
   */
  @Test
  void endsWithTheOutcomeOfTheLastAttempt() {
    store = () -> replied(REFUSED);
    byPeer = () -> failed(false);
    assertTrue(caller.call(append()).toCompletableFuture().isCompletedExceptionally());
    assertEquals(List.of("direct", "a1"), routes);
  }

  /**
   * Guards against an outcome that cannot be explained: a refused job ran, and no log line named
   * the attempts by which it had been written.
   */
  @Test
  void reportsEachAttemptOfAFailedCall() {
    store = () -> replied(REFUSED);
    byPeer = () -> failed(false);
    CompletionStage<HttpReply> result = caller.call(append());
    Throwable failure =
        assertThrows(CompletionException.class, () -> result.toCompletableFuture().join());
    assertEquals(
        "direct in 0 ms, not done: status 503; a1 in 0 ms, perhaps done: failed by the test",
        failure.getCause().getMessage());
    byPeer = () -> replied(REFUSED);
    time.advance(StoreAvailability.PEERS_PAUSE);
    assertEquals(
        "a1 in 0 ms, not done: status 503; a2 in 0 ms, not done: status 503",
        caller.call(append()).toCompletableFuture().join().attempts());
  }

  private CompletionStage<HttpReply> attempt(
      String name, Supplier<CompletionStage<HttpReply>> result) {
    routes.add(name);
    return result.get();
  }

  private static CompletionStage<HttpReply> replied(HttpReply reply) {
    return CompletableFuture.completedFuture(reply);
  }

  private static CompletionStage<HttpReply> failed(boolean unsent) {
    return CompletableFuture.failedFuture(new HttpCallException("failed by the test", unsent));
  }

  private static CompletionStage<HttpReply> cut() {
    return CompletableFuture.failedFuture(HttpCallException.connectionClosed("failed by the test"));
  }

  private static int status(CompletionStage<HttpReply> result) {
    return result.toCompletableFuture().join().status();
  }

  private static HttpCall append() {
    return call("POST");
  }

  private static HttpCall read() {
    return call("GET");
  }

  private static HttpCall waitingRead() {
    return call("GET", Duration.ofMillis(2_900));
  }

  private static HttpCall call(String method) {
    return call(method, Duration.ofMillis(900));
  }

  private static HttpCall call(String method, Duration timeout) {
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
    return new HttpCall(address, method, "/", Map.of(), new byte[0], timeout);
  }

  private static GatewayInstance peer(String name) {
    return new GatewayInstance(name, name + "~1", new InetSocketAddress("127.0.0.1", 1), "a");
  }
}
