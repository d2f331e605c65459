package io.hawthornlb.app.entry;

import io.hawthornlb.core.model.EndpointId;
import reactor.core.publisher.Mono;

/** Tells a process that died from a connection that broke. */
public interface CrashDetector {

  /**
   * Looks whether the process behind a broken connection still lives.
   *
   * <p>Probes of the same endpoint at the same time share one look.
   */
  Mono<Result> probe(EndpointId endpoint, String address);

  /**
   * What a probe showed.
   *
   * @param crashed whether the process is gone
   * @param firstToSee whether this is the first answer about this crash
   */
  record Result(boolean crashed, boolean firstToSee) {}
}
