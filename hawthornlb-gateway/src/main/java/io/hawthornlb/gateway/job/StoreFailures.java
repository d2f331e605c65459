package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.store.StoreException;
import java.util.concurrent.CompletionException;

/** Reports the failed calls to the store that concern one partition. */
final class StoreFailures {

  private final JobParts parts;
  private final int partition;

  StoreFailures(JobParts parts, int partition) {
    this.parts = parts;
    this.partition = partition;
  }

  /** Counts and logs a failed call, and returns what is known about it. */
  StoreException.Kind report(String call, Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    StoreException.Kind kind =
        cause instanceof StoreException store ? store.kind() : StoreException.Kind.UNKNOWN;
    parts.metrics().count("store.failed", call + " " + kind.name());
    parts
        .log()
        .important("job", "partition.store.failed")
        .with("partition", partition)
        .with("call", call)
        .with("kind", kind.name())
        .with("cause", String.valueOf(cause == null ? failure : cause.getMessage()))
        .write();
    return kind;
  }
}
