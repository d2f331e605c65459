package io.hawthornlb.app.entry;

import io.hawthornlb.core.model.EndpointId;
import reactor.core.publisher.Mono;

/** Distinguishes the crash of an endpoint from the loss of a single connection. */
public interface CrashDetector {

  /**
   * Checks whether the endpoint behind a broken connection is still running.
   *
   * <p>Concurrent probes of the same endpoint share one check.
   */
  Mono<Result> probe(EndpointId endpoint, String address);

  /**
   * The result of a probe.
   *
   * @param crashed whether the endpoint has crashed
   * @param firstToSee whether this is the first result that reports this crash
   */
  record Result(boolean crashed, boolean firstToSee) {}
}
