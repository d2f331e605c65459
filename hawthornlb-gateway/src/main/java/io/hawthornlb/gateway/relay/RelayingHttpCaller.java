package io.hawthornlb.gateway.relay;

import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.http.HttpCall;
import io.hawthornlb.gateway.http.HttpCallException;
import io.hawthornlb.gateway.http.HttpCaller;
import io.hawthornlb.gateway.http.HttpReply;
import io.hawthornlb.gateway.peer.GatewayInstance;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Calls the store, and has peers call it while it does not answer this process.
 *
 * <p>Failure: the store turns some gateways away, or a cut parts them from it, while others reach
 * it. It shows as calls that are refused or get no answer. Guard: what certainly was not carried
 * out, or may be carried out twice, is handed to a peer at once; any other call ends as it did, and
 * whoever made it decides.
 *
 * <p>Failure: the store cuts all reads that wait and answers new ones. It would show as instances
 * that all take it for away and refuse each other for seconds. Guard: a read that was cut is made
 * again once, over another connection, before the store counts as away.
 */
public final class RelayingHttpCaller implements HttpCaller {

  /** Peers that are asked for one call; each that does not reach the store costs a round trip. */
  private static final int MAX_PEERS = 2;

  private static final String READ = "GET";

  private final HttpCaller direct;
  private final RelayTransport transport;
  private final Supplier<List<GatewayInstance>> peers;
  private final InstantSource clock;
  private final EventLog log;
  private final StoreReach reach = new StoreReach();
  private final List<Runnable> regained = new CopyOnWriteArrayList<>();
  private @Nullable String lastHelper;

  /**
   * Creates a caller.
   *
   * @param direct calls the store itself
   * @param transport has peers call it
   * @param peers peers that do not seem silent, in the order in which they are asked
   * @param clock time
   * @param log decisions
   */
  public RelayingHttpCaller(
      HttpCaller direct,
      RelayTransport transport,
      Supplier<List<GatewayInstance>> peers,
      InstantSource clock,
      EventLog log) {
    this.direct = direct;
    this.transport = transport;
    this.peers = peers;
    this.clock = clock;
    this.log = log;
  }

  /** Returns whether the store does not answer this process. */
  public boolean away() {
    return reach.away();
  }

  /** Calls a listener each time the store answers this process again. */
  public void onRegained(Runnable listener) {
    regained.add(listener);
  }

  @Override
  public CompletionStage<HttpReply> call(HttpCall call) {
    Attempt attempt = new Attempt(call);
    if (!reach.away()) {
      attempt.callDirectly();
    } else {
      if (repeatable(call) && reach.probeDue(clock.instant(), call.timeout())) {
        attempt.probe();
      }
      attempt.callPeersUnlessAnswered();
    }
    return attempt.result;
  }

  private static boolean repeatable(HttpCall call) {
    return call.method().equals(READ);
  }

  private static boolean answered(@Nullable HttpReply reply) {
    return reply != null && !reply.refused();
  }

  /** Notes that the store did not answer a direct call. */
  private void noteFailure(long number, @Nullable HttpReply reply, @Nullable Throwable failure) {
    Instant now = clock.instant();
    boolean lost = reply == null ? reach.unanswered(number, now) : reach.refused(now);
    if (lost) {
      log.important("relay", "store.lost").with("cause", cause(reply, failure)).write();
    }
  }

  private static boolean unsent(@Nullable Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof HttpCallException call && call.unsent();
  }

  private static boolean closedWithoutReply(@Nullable Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof HttpCallException call && call.closedWithoutReply();
  }

  private static String cause(@Nullable HttpReply reply, @Nullable Throwable failure) {
    if (reply != null) {
      return "status " + reply.status();
    }
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof HttpCallException call
        ? String.valueOf(call.getMessage())
        : String.valueOf(failure);
  }

  /** One call, by whichever ways it takes. */
  private final class Attempt {

    private final HttpCall call;
    private final CompletableFuture<HttpReply> result = new CompletableFuture<>();
    private @Nullable HttpReply lastReply;
    private Throwable lastFailure = new HttpCallException("No peer reaches the store", true);
    private final List<String> attempts = new ArrayList<>();
    private int asked;

    private Attempt(HttpCall call) {
      this.call = call;
    }

    private void callDirectly() {
      long number = reach.begin();
      Instant began = clock.instant();
      direct
          .call(call)
          .whenComplete(
              (reply, failure) -> {
                if (closedWithoutReply(failure) && repeatable(call)) {
                  log.routine("relay", "read.cut").with("path", call.path()).write();
                  callDirectlyAgain(began);
                } else {
                  answeredDirectly(number, began, reply, failure);
                }
              });
    }

    private void callDirectlyAgain(Instant began) {
      long number = reach.begin();
      direct
          .call(call)
          .whenComplete((reply, failure) -> answeredDirectly(number, began, reply, failure));
    }

    private void answeredDirectly(
        long number, Instant began, @Nullable HttpReply reply, @Nullable Throwable failure) {
      if (answered(reply)) {
        take(reply);
      } else {
        noteFailure(number, reply, failure);
        tell("direct", reply, failure, began);
        passOn(reply, failure);
      }
    }

    /** Takes the store's own reply, and tells others if they may be waiting for one. */
    private void take(HttpReply reply) {
      boolean back = reach.answered();
      if (back) {
        log.important("relay", "store.regained").write();
      }
      result.complete(reply);
      if (back) {
        regained.forEach(Runnable::run);
      }
    }

    /** Finds out whether the store answers again; its answer counts if it is the first. */
    private void probe() {
      long number = reach.begin();
      direct
          .call(call)
          .whenComplete(
              (reply, failure) -> {
                if (answered(reply)) {
                  take(reply);
                } else {
                  noteFailure(number, reply, failure);
                }
              });
    }

    private void callPeersUnlessAnswered() {
      if (!result.isDone()) {
        callPeers();
      }
    }

    private void callPeers() {
      Instant now = clock.instant();
      GatewayInstance peer = asked < MAX_PEERS && reach.peersMayHelp(now) ? nextPeer() : null;
      if (peer == null) {
        giveUp(now);
        return;
      }
      asked++;
      transport
          .call(peer, RelayTarget.STORE, call)
          .whenComplete(
              (reply, failure) -> {
                if (reply != null && !reply.refused()) {
                  helped(peer, reply);
                } else {
                  tell(peer.name(), reply, failure, now);
                  notHelped(peer, reply, failure);
                }
              });
    }

    private @Nullable GatewayInstance nextPeer() {
      List<GatewayInstance> candidates = peers.get();
      for (GatewayInstance candidate : candidates) {
        if (asked == 0 && candidate.name().equals(lastHelper)) {
          return candidate;
        }
      }
      return candidates.size() > asked ? candidates.get(asked) : null;
    }

    private void helped(GatewayInstance peer, HttpReply reply) {
      if (!peer.name().equals(lastHelper)) {
        lastHelper = peer.name();
        log.important("relay", "peer.helps").with("instance", peer.name()).write();
      }
      result.complete(reply);
    }

    private void notHelped(
        GatewayInstance peer, @Nullable HttpReply reply, @Nullable Throwable failure) {
      if (peer.name().equals(lastHelper)) {
        lastHelper = null;
      }
      log.routine("relay", "peer.failed")
          .with("instance", peer.name())
          .with("cause", cause(reply, failure))
          .write();
      passOn(reply, failure);
    }

    /** Hands the call on if that does no harm, and ends it as it is otherwise. */
    private void passOn(@Nullable HttpReply reply, @Nullable Throwable failure) {
      lastReply = reply;
      lastFailure = failure == null ? lastFailure : failure;
      if (reply != null || unsent(failure) || repeatable(call)) {
        callPeers();
      } else {
        end();
      }
    }

    private void giveUp(Instant now) {
      if (asked > 0) {
        reach.peersFailed(now);
      }
      end();
    }

    /** Keeps how one way ended, so that whoever called can log all of them in one line. */
    private void tell(
        String way, @Nullable HttpReply reply, @Nullable Throwable failure, Instant began) {
      long millis = Duration.between(began, clock.instant()).toMillis();
      String done = reply != null || unsent(failure) ? "not done" : "perhaps done";
      attempts.add(way + " in " + millis + " ms, " + done + ": " + cause(reply, failure));
    }

    private void end() {
      String told = String.join("; ", attempts);
      if (lastReply != null) {
        result.complete(lastReply.withAttempts(told));
      } else if (attempts.isEmpty()) {
        result.completeExceptionally(lastFailure);
      } else {
        result.completeExceptionally(new HttpCallException(told, unsent(lastFailure)));
      }
    }
  }
}
