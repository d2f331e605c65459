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
 * Calls the store directly, and through peers while the store is unavailable to this process.
 *
 * <p>The store may refuse some gateways, or the network may cut them off from the store, while
 * others reach it. Their calls are then refused or get no reply. A call that was certainly not
 * carried out, or that may be carried out twice, is immediately passed to a peer. Any other call
 * ends with its failure, and its caller decides what to do.
 *
 * <p>The store may cut all waiting reads and still answer new ones. All instances would then
 * consider the store unavailable and refuse one another's calls for seconds. Therefore a read whose
 * connection was cut is made once more, over another connection, before the store counts as
 * unavailable.
 */
public final class RelayingHttpCaller implements HttpCaller {

  /**
   * Maximum number of peers for one call; each peer that does not reach the store costs a round
   * trip.
   */
  private static final int MAX_PEERS = 2;

  private static final String READ = "GET";

  private final HttpCaller direct;
  private final RelayTransport transport;
  private final Supplier<List<GatewayInstance>> peers;
  private final InstantSource clock;
  private final EventLog log;
  private final StoreAvailability availability = new StoreAvailability();
  private final List<Runnable> recoveryListeners = new CopyOnWriteArrayList<>();
  private @Nullable String lastWorkingPeer;

  /**
   * Creates a caller.
   *
   * @param direct calls the store directly
   * @param transport sends calls to peers
   * @param peers supplies the peers that are not suspected of being silent, in the order in which
   *     they are tried
   * @param clock source of the current time
   * @param log log of decisions
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

  /** Returns whether the store is unavailable to this process. */
  public boolean storeUnavailable() {
    return availability.unavailable();
  }

  /** Adds a listener that runs each time the store becomes available to this process again. */
  public void onStoreRecovered(Runnable listener) {
    recoveryListeners.add(listener);
  }

  @Override
  public CompletionStage<HttpReply> call(HttpCall call) {
    Attempt attempt = new Attempt(call);
    if (!availability.unavailable()) {
      attempt.callDirectly();
    } else {
      if (repeatable(call) && availability.probeDue(clock.instant(), call.timeout())) {
        attempt.probe();
      }
      attempt.callPeersUnlessDone();
    }
    return attempt.result;
  }

  private static boolean repeatable(HttpCall call) {
    return call.method().equals(READ);
  }

  private static boolean succeeded(@Nullable HttpReply reply) {
    return reply != null && !reply.refused();
  }

  /** Records that the store refused a direct call or did not reply to it. */
  private void recordDirectFailure(
      long number, @Nullable HttpReply reply, @Nullable Throwable failure) {
    Instant now = clock.instant();
    boolean lost =
        reply == null ? availability.recordNoReply(number, now) : availability.recordRefusal(now);
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

  /** One call, over all its attempts. */
  private final class Attempt {

    private final HttpCall call;
    private final CompletableFuture<HttpReply> result = new CompletableFuture<>();
    private @Nullable HttpReply lastReply;
    private Throwable lastFailure = new HttpCallException("No peer can reach the store", true);
    private final List<String> attempts = new ArrayList<>();
    private int peersTried;

    private Attempt(HttpCall call) {
      this.call = call;
    }

    private void callDirectly() {
      long number = availability.begin();
      Instant began = clock.instant();
      direct
          .call(call)
          .whenComplete(
              (reply, failure) -> {
                if (closedWithoutReply(failure) && repeatable(call)) {
                  log.routine("relay", "read.cut").with("path", call.path()).write();
                  repeatDirectCall(began);
                } else {
                  onDirectReply(number, began, reply, failure);
                }
              });
    }

    private void repeatDirectCall(Instant began) {
      long number = availability.begin();
      direct
          .call(call)
          .whenComplete((reply, failure) -> onDirectReply(number, began, reply, failure));
    }

    private void onDirectReply(
        long number, Instant began, @Nullable HttpReply reply, @Nullable Throwable failure) {
      if (succeeded(reply)) {
        completeDirectly(reply);
      } else {
        recordDirectFailure(number, reply, failure);
        recordAttempt("direct", reply, failure, began);
        continueWithPeers(reply, failure);
      }
    }

    /**
     * Completes the call with the store's reply. Notifies the listeners if the store was
     * unavailable before.
     */
    private void completeDirectly(HttpReply reply) {
      boolean recovered = availability.recordReply();
      if (recovered) {
        log.important("relay", "store.regained").write();
      }
      result.complete(reply);
      if (recovered) {
        recoveryListeners.forEach(Runnable::run);
      }
    }

    /**
     * Probes whether the store is available again. The probe's reply completes the call if no other
     * reply was earlier.
     */
    private void probe() {
      long number = availability.begin();
      direct
          .call(call)
          .whenComplete(
              (reply, failure) -> {
                if (succeeded(reply)) {
                  completeDirectly(reply);
                } else {
                  recordDirectFailure(number, reply, failure);
                }
              });
    }

    private void callPeersUnlessDone() {
      if (!result.isDone()) {
        callPeers();
      }
    }

    private void callPeers() {
      Instant now = clock.instant();
      GatewayInstance peer =
          peersTried < MAX_PEERS && availability.mayTryPeers(now) ? nextPeer() : null;
      if (peer == null) {
        giveUp(now);
        return;
      }
      peersTried++;
      transport
          .call(peer, RelayTarget.STORE, call)
          .whenComplete(
              (reply, failure) -> {
                if (reply != null && !reply.refused()) {
                  onPeerReply(peer, reply);
                } else {
                  recordAttempt(peer.name(), reply, failure, now);
                  onPeerFailure(peer, reply, failure);
                }
              });
    }

    private @Nullable GatewayInstance nextPeer() {
      List<GatewayInstance> candidates = peers.get();
      for (GatewayInstance candidate : candidates) {
        if (peersTried == 0 && candidate.name().equals(lastWorkingPeer)) {
          return candidate;
        }
      }
      return candidates.size() > peersTried ? candidates.get(peersTried) : null;
    }

    private void onPeerReply(GatewayInstance peer, HttpReply reply) {
      if (!peer.name().equals(lastWorkingPeer)) {
        lastWorkingPeer = peer.name();
        log.important("relay", "peer.helps").with("instance", peer.name()).write();
      }
      result.complete(reply);
    }

    private void onPeerFailure(
        GatewayInstance peer, @Nullable HttpReply reply, @Nullable Throwable failure) {
      if (peer.name().equals(lastWorkingPeer)) {
        lastWorkingPeer = null;
      }
      log.routine("relay", "peer.failed")
          .with("instance", peer.name())
          .with("cause", cause(reply, failure))
          .write();
      continueWithPeers(reply, failure);
    }

    /**
     * Passes the call to a peer if a repetition does no harm, and otherwise ends the call with its
     * last outcome.
     */
    private void continueWithPeers(@Nullable HttpReply reply, @Nullable Throwable failure) {
      lastReply = reply;
      lastFailure = failure == null ? lastFailure : failure;
      if (reply != null || unsent(failure) || repeatable(call)) {
        callPeers();
      } else {
        end();
      }
    }

    private void giveUp(Instant now) {
      if (peersTried > 0) {
        availability.peersFailed(now);
      }
      end();
    }

    /** Records the outcome of one attempt, so that the caller can log all attempts in one line. */
    private void recordAttempt(
        String route, @Nullable HttpReply reply, @Nullable Throwable failure, Instant began) {
      long millis = Duration.between(began, clock.instant()).toMillis();
      String done = reply != null || unsent(failure) ? "not done" : "perhaps done";
      attempts.add(route + " in " + millis + " ms, " + done + ": " + cause(reply, failure));
    }

    private void end() {
      String summary = String.join("; ", attempts);
      if (lastReply != null) {
        result.complete(lastReply.withAttempts(summary));
      } else if (attempts.isEmpty()) {
        result.completeExceptionally(lastFailure);
      } else {
        result.completeExceptionally(new HttpCallException(summary, unsent(lastFailure)));
      }
    }
  }
}
