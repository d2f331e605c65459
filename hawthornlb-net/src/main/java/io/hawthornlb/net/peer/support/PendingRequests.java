package io.hawthornlb.net.peer.support;

import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.core.peer.PeerUnavailableException;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** The requests to one peer that wait for a response. Confined to one event loop. */
final class PendingRequests {

  private final InstanceId peer;
  private final EventLoop eventLoop;
  private final Map<Long, Pending> pending = new HashMap<>();

  private record Pending(CompletableFuture<PeerMessage> result, ScheduledFuture<?> timeout) {}

  PendingRequests(InstanceId peer, EventLoop eventLoop) {
    this.peer = peer;
    this.eventLoop = eventLoop;
  }

  int size() {
    return pending.size();
  }

  void add(long correlation, CompletableFuture<PeerMessage> result, Duration timeout) {
    ScheduledFuture<?> timer =
        eventLoop.schedule(
            () -> fail(correlation, "timeout"), timeout.toNanos(), TimeUnit.NANOSECONDS);
    pending.put(correlation, new Pending(result, timer));
  }

  /** Completes a request. A response that arrives after the request's timeout is dropped. */
  void complete(long correlation, PeerMessage response) {
    @Nullable Pending request = remove(correlation);
    if (request != null) {
      request.result().complete(response);
    }
  }

  void fail(long correlation, String cause) {
    @Nullable Pending request = remove(correlation);
    if (request != null) {
      request.result().completeExceptionally(new PeerUnavailableException(peer, cause));
    }
  }

  void failAll(String cause) {
    List<Long> correlations = new ArrayList<>(pending.keySet());
    correlations.forEach(correlation -> fail(correlation, cause));
  }

  private @Nullable Pending remove(long correlation) {
    @Nullable Pending request = pending.remove(correlation);
    if (request != null) {
      request.timeout().cancel(false);
    }
    return request;
  }
}
