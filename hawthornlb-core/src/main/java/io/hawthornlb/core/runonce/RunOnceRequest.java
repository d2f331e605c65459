package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.util.Checks;
import java.time.Duration;
import java.time.Instant;

/**
 * A request that may run once.
 *
 * @param key names it through resends
 * @param generatedKey whether an entry made the key, so that no caller can have sent it before
 * @param fingerprint a hash of service and call; other content under the key is a conflict
 * @param service the service
 * @param call the call
 * @param deadline when the caller needs the answer
 * @param retention how long the outcome stays readable
 */
public record RunOnceRequest(
    RunOnceKey key,
    boolean generatedKey,
    String fingerprint,
    ServiceName service,
    ServiceCall call,
    Instant deadline,
    Duration retention) {

  /** Checks the fingerprint. */
  public RunOnceRequest {
    Checks.hasText(fingerprint, "fingerprint");
    Checks.isTrue(!retention.isNegative(), "retention must not be negative");
  }
}
