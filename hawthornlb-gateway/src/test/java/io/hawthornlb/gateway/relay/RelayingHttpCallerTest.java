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

  private static final HttpReply DONE = new HttpReply(200, new byte[0]);
  private static final HttpReply BUSY = new HttpReply(503, new byte[0]);

  private final VirtualLoop time = new VirtualLoop();
  private final List<String> ways = new ArrayList<>();
  private Supplier<CompletionStage<HttpReply>> store = () -> replied(DONE);
  private Supplier<CompletionStage<HttpReply>> byPeer = () -> replied(DONE);
  private final RelayingHttpCaller caller =
      new RelayingHttpCaller(
          call -> way("direct", store),
          (peer, target, call) -> way(peer.name(), byPeer),
          () -> List.of(peer("a1"), peer("a2"), peer("a3")),
          time,
          new RecordingEventLog());

  /**
   * A caller's job is refused at a third of the gateways for seconds. The store turned these
   * gateways away, and none of them asked another one.
   */
  @Test
  void hasAPeerMakeACallThatTheStoreRefused() {
    store = () -> replied(BUSY);
    assertEquals(200, status(caller.call(append())));
    assertEquals(List.of("direct", "a1"), ways);
  }

  /** A job is taken late: each call waits for a store that is silent before it goes to a peer. */
  @Test
  void asksPeersFirstOnceTheStoreDidNotAnswer() {
    store = () -> replied(BUSY);
    caller.call(append());
    ways.clear();
    caller.call(append());
    assertEquals(List.of("a1"), ways);
    assertTrue(caller.away());
  }

  /**
   * A job is written twice, once of them seconds later. The store carried an append out late whose
   * answer was lost, and a peer had been asked to make it again.
   */
  @Test
  void repeatsNoAppendThatMayHaveHappened() {
    store = () -> failed(false);
    CompletionStage<HttpReply> result = caller.call(append());
    assertTrue(result.toCompletableFuture().isCompletedExceptionally());
    assertEquals(List.of("direct"), ways);
  }

  @Test
  void repeatsAReadThatGotNoAnswer() {
    store = () -> failed(false);
    assertEquals(200, status(caller.call(read())));
    assertEquals(List.of("direct", "a1"), ways);
  }

  /**
   * A change is in force seconds late on most gateways. The store cut all waiting reads at once and
   * answered new ones; each gateway took that for a store that is away, and all refused each other.
   */
  @Test
  void callsTheStoreAgainAfterACutRead() {
    store = () -> ways.size() == 1 ? cut() : replied(DONE);
    assertEquals(200, status(caller.call(read())));
    assertEquals(List.of("direct", "direct"), ways);
    assertFalse(caller.away());
  }

  @Test
  void asksAPeerIfTheStoreCutsTheRepeatedReadToo() {
    store = RelayingHttpCallerTest::cut;
    assertEquals(200, status(caller.call(read())));
    assertEquals(List.of("direct", "direct", "a1"), ways);
    assertTrue(caller.away());
  }

  /** An append whose connection closed may have happened, also on the second try. */
  @Test
  void repeatsNoAppendThatWasCut() {
    store = RelayingHttpCallerTest::cut;
    assertTrue(caller.call(append()).toCompletableFuture().isCompletedExceptionally());
    assertEquals(List.of("direct"), ways);
  }

  /**
   * A change is seen late after an outage: the read that found out that the store answers again had
   * its reply thrown away, and whoever waited for it waited for the next one.
   */
  @Test
  void hasTheReplyOfACallThatFindsTheStoreAnswering() {
    store = () -> replied(BUSY);
    byPeer = () -> failed(true);
    caller.call(read());
    store = () -> replied(DONE);
    ways.clear();
    time.advance(StoreReach.FIRST_PROBE);
    assertEquals(200, status(caller.call(read())));
    assertEquals(List.of("direct"), ways);
  }

  /**
   * The same, seconds later still: what was to find out that the store answers was a read that
   * waits for new records, and calls that are answered at once were not made meanwhile.
   */
  @Test
  void findsTheStoreAnsweringWhileAReadWaits() {
    store = () -> replied(BUSY);
    byPeer = () -> failed(true);
    caller.call(read());
    time.advance(StoreReach.FIRST_PROBE);
    store = CompletableFuture::new;
    caller.call(waitingRead());
    store = () -> replied(DONE);
    ways.clear();
    assertEquals(200, status(caller.call(read())));
    assertEquals(List.of("direct"), ways);
    assertFalse(caller.away());
  }

  /**
   * All calls go to peers that refuse, though the store is back: a call of the outage failed late.
   */
  @Test
  void staysWithAStoreThatAnsweredAfterTheCallThatFails() {
    CompletableFuture<HttpReply> silent = new CompletableFuture<>();
    store = () -> silent;
    CompletionStage<HttpReply> early = caller.call(read());
    store = () -> replied(DONE);
    caller.call(read());
    silent.completeExceptionally(new HttpCallException("No reply in time", false));
    assertEquals(200, status(early));
    assertFalse(caller.away());
    ways.clear();
    caller.call(read());
    assertEquals(List.of("direct"), ways);
  }

  /** The same where the call of the outage is the one that was to find the store answering. */
  @Test
  void staysWithAStoreThatAnsweredAfterTheProbeThatFails() {
    CompletableFuture<HttpReply> silent = new CompletableFuture<>();
    store = () -> replied(BUSY);
    caller.call(read());
    time.advance(StoreReach.FIRST_PROBE);
    store = () -> silent;
    caller.call(read());
    time.advance(StoreReach.MAX_PROBE);
    store = () -> replied(DONE);
    caller.call(read());
    assertFalse(caller.away());
    silent.completeExceptionally(new HttpCallException("No reply in time", false));
    assertFalse(caller.away());
  }

  /** A store that has answered just before and refuses now is called on and on. */
  @Test
  void takesARefusalForWhatHoldsNow() {
    CompletableFuture<HttpReply> waiting = new CompletableFuture<>();
    store = () -> waiting;
    caller.call(waitingRead());
    store = () -> replied(DONE);
    caller.call(read());
    waiting.complete(BUSY);
    assertTrue(caller.away());
  }

  /**
   * A gateway asks its peers for good after one outage, which costs each call a hop: nothing found
   * out that the store answers again.
   */
  @Test
  void returnsToTheStoreOnceItAnswers() {
    store = () -> replied(BUSY);
    caller.call(read());
    store = () -> replied(DONE);
    time.advance(StoreReach.FIRST_PROBE);
    caller.call(read());
    assertFalse(caller.away());
    ways.clear();
    caller.call(read());
    assertEquals(List.of("direct"), ways);
  }

  /** Followers pause on after an outage whose end another call of their process has found. */
  @Test
  void tellsOnceThatTheStoreAnswersAgain() {
    caller.onRegained(() -> ways.add("told"));
    caller.call(read());
    store = () -> replied(BUSY);
    caller.call(read());
    store = () -> replied(DONE);
    time.advance(StoreReach.FIRST_PROBE);
    ways.clear();
    caller.call(read());
    caller.call(read());
    assertEquals(List.of("direct", "told", "direct"), ways);
  }

  /**
   * While the store is away for all, gateways drown each other in calls that none of them can make.
   */
  @Test
  void asksNoPeerForAWhileAfterNoneCouldHelp() {
    store = () -> replied(BUSY);
    byPeer = () -> failed(true);
    caller.call(append());
    assertEquals(List.of("direct", "a1", "a2"), ways);
    ways.clear();
    assertTrue(caller.call(append()).toCompletableFuture().isCompletedExceptionally());
    assertEquals(List.of(), ways);
    time.advance(StoreReach.PEERS_PAUSE);
    caller.call(append());
    assertEquals(List.of("a1", "a2"), ways);
  }

  @Test
  void staysWithThePeerThatHelped() {
    store = () -> replied(BUSY);
    byPeer = () -> replied(ways.get(ways.size() - 1).equals("a2") ? DONE : BUSY);
    caller.call(append());
    ways.clear();
    caller.call(append());
    assertEquals(List.of("a2"), ways);
  }

  /** What is said of a call follows the last way that it took: a reply of 503 says "not done". */
  @Test
  void tellsHowTheLastWayEnded() {
    store = () -> replied(BUSY);
    byPeer = () -> failed(false);
    assertTrue(caller.call(append()).toCompletableFuture().isCompletedExceptionally());
    assertEquals(List.of("direct", "a1"), ways);
  }

  /** A job that was refused ran, and no line told by which ways it had been written. */
  @Test
  void tellsEachWayOfACallThatFailed() {
    store = () -> replied(BUSY);
    byPeer = () -> failed(false);
    CompletionStage<HttpReply> result = caller.call(append());
    Throwable failure =
        assertThrows(CompletionException.class, () -> result.toCompletableFuture().join());
    assertEquals(
        "direct in 0 ms, not done: status 503; a1 in 0 ms, perhaps done: as told",
        failure.getCause().getMessage());
    byPeer = () -> replied(BUSY);
    time.advance(StoreReach.PEERS_PAUSE);
    assertEquals(
        "a1 in 0 ms, not done: status 503; a2 in 0 ms, not done: status 503",
        caller.call(append()).toCompletableFuture().join().attempts());
  }

  private CompletionStage<HttpReply> way(String name, Supplier<CompletionStage<HttpReply>> how) {
    ways.add(name);
    return how.get();
  }

  private static CompletionStage<HttpReply> replied(HttpReply reply) {
    return CompletableFuture.completedFuture(reply);
  }

  private static CompletionStage<HttpReply> failed(boolean unsent) {
    return CompletableFuture.failedFuture(new HttpCallException("as told", unsent));
  }

  private static CompletionStage<HttpReply> cut() {
    return CompletableFuture.failedFuture(HttpCallException.connectionClosed("as told"));
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
