package io.hawthornlb.gateway.relay;

import io.hawthornlb.gateway.front.FrontRequest;
import io.hawthornlb.gateway.http.HttpCall;
import io.hawthornlb.gateway.http.HttpReply;
import io.hawthornlb.gateway.job.JobPeers;
import io.hawthornlb.gateway.peer.FleetView;
import io.hawthornlb.gateway.peer.GatewayInstance;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.jspecify.annotations.Nullable;

/** Forwards calls about jobs to the other processes over links. */
public final class RelayJobPeers implements JobPeers {

  private static final String PARTITION_KEY = "jobs/";

  /**
   * Time for which no further call about jobs goes to a process that did not reply to one; restarts
   * take 1 to 2 s. The process is not considered silent otherwise, since a slow log delays only
   * replies about jobs.
   */
  private static final Duration BACKOFF = Duration.ofMillis(1_200);

  private final FleetView fleet;
  private final RelayTransport transport;
  private final InstantSource clock;
  private final Map<String, Instant> unreachableUntil = new HashMap<>();

  /** Creates the peers of a fleet, without any failed call. */
  public RelayJobPeers(FleetView fleet, RelayTransport transport, InstantSource clock) {
    this.fleet = fleet;
    this.transport = transport;
    this.clock = clock;
  }

  @Override
  public String self() {
    return fleet.self().name();
  }

  @Override
  public int instances() {
    return fleet.others().size() + 1;
  }

  @Override
  public boolean reachable(String name) {
    Instant now = clock.instant();
    return fleet.lastKnown(name) != null
        && !fleet.seemsSilent(name, now)
        && !now.isBefore(unreachableUntil.getOrDefault(name, Instant.MIN));
  }

  @Override
  public Optional<String> standby(int partition, String holder) {
    return fleet.ranked(PARTITION_KEY + partition, clock.instant()).stream()
        .map(GatewayInstance::name)
        .filter(name -> !name.equals(holder))
        .findFirst();
  }

  @Override
  public CompletionStage<HttpReply> forward(String name, FrontRequest request, Duration timeout) {
    @Nullable GatewayInstance peer = fleet.lastKnown(name);
    if (peer == null) {
      return CompletableFuture.failedFuture(
          new IllegalStateException("Not in the list of instances: " + name));
    }
    Map<String, String> headers = new LinkedHashMap<>();
    request.headers().forEach(header -> headers.put(header.getKey(), header.getValue()));
    HttpCall call =
        new HttpCall(
            peer.address(),
            request.method().name(),
            request.uri(),
            headers,
            request.body(),
            timeout);
    return transport
        .call(peer, RelayTarget.JOBS, call)
        .whenComplete(
            (reply, failure) -> {
              if (failure == null) {
                unreachableUntil.remove(name);
              } else {
                unreachableUntil.put(name, clock.instant().plus(BACKOFF));
              }
            });
  }
}
