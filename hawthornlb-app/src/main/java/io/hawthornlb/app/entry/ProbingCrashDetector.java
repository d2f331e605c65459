package io.hawthornlb.app.entry;

import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.net.endpoint.EndpointCall;
import io.hawthornlb.net.endpoint.EndpointCallException;
import io.hawthornlb.net.endpoint.EndpointClient;
import io.hawthornlb.net.endpoint.TrafficKind;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import reactor.core.publisher.Mono;

/**
 * Detects crashes by a health probe of the endpoint over a new call.
 *
 * <p>When an endpoint crashes, all of its requests fail at the same moment. These requests share
 * one probe, and only the first result counts as a crash. Otherwise one crash would be counted once
 * for each request, and requests that did not cause the crash would reach the threshold for
 * suspects.
 */
public final class ProbingCrashDetector implements CrashDetector {

  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(400);
  private static final Duration RESULT_SHARING_TIME = Duration.ofMillis(500);

  private final EndpointClient endpoints;
  private final Map<EndpointId, Probe> probes = new ConcurrentHashMap<>();

  /** Creates a detector. */
  public ProbingCrashDetector(EndpointClient endpoints) {
    this.endpoints = endpoints;
  }

  @Override
  public Mono<Result> probe(EndpointId endpoint, String address) {
    return Mono.defer(
        () -> {
          Probe probe = probes.computeIfAbsent(endpoint, id -> new Probe(checkHealth(id, address)));
          return probe.crashed.map(crashed -> new Result(crashed, probe.claimFirst(crashed)));
        });
  }

  private Mono<Boolean> checkHealth(EndpointId endpoint, String address) {
    return endpoints
        .exchange(EndpointCall.bare(address, "GET", "/health", TrafficKind.CONTROL), PROBE_TIMEOUT)
        .map(answer -> false)
        .onErrorResume(EndpointCallException.class, error -> Mono.just(true))
        .doOnNext(
            crashed -> Mono.delay(RESULT_SHARING_TIME).subscribe(tick -> probes.remove(endpoint)))
        .cache();
  }

  private static final class Probe {

    private final Mono<Boolean> crashed;
    private final AtomicBoolean first = new AtomicBoolean(true);

    private Probe(Mono<Boolean> crashed) {
      this.crashed = crashed;
    }

    private boolean claimFirst(boolean wasCrash) {
      return wasCrash && first.compareAndSet(true, false);
    }
  }
}
