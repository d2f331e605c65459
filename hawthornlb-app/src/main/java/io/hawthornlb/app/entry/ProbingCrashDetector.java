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
 * Probes the health of an endpoint over a new call.
 *
 * <p>When an endpoint dies, all of its requests break at the same moment. They share one probe and
 * only the first answer counts as a crash; otherwise one crash would be counted once for each
 * request, and innocent ones would pass the threshold of suspects.
 */
public final class ProbingCrashDetector implements CrashDetector {

  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(400);
  private static final Duration SHARED_FOR = Duration.ofMillis(500);

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
          Probe probe = probes.computeIfAbsent(endpoint, id -> new Probe(look(id, address)));
          return probe.crashed.map(crashed -> new Result(crashed, probe.claimFirst(crashed)));
        });
  }

  private Mono<Boolean> look(EndpointId endpoint, String address) {
    return endpoints
        .exchange(EndpointCall.bare(address, "GET", "/health", TrafficKind.CONTROL), PROBE_TIMEOUT)
        .map(answer -> false)
        .onErrorResume(EndpointCallException.class, error -> Mono.just(true))
        .doOnNext(crashed -> Mono.delay(SHARED_FOR).subscribe(tick -> probes.remove(endpoint)))
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
