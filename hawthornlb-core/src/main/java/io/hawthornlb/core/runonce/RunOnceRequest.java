package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.util.Checks;
import java.time.Duration;
import java.time.Instant;

/**
 * Request that runs at most once.
 *
 * @param key identifies the request across resends
 * @param generatedKey whether the entry instance generated the key, so that no caller can have sent
 *     it before
 * @param fingerprint a hash of service and call; the same key with another fingerprint is a
 *     conflict
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

  /** Checks that the fingerprint is not blank and that the retention is not negative. */
  public RunOnceRequest {
    Checks.hasText(fingerprint, "fingerprint");
    Checks.isTrue(!retention.isNegative(), "retention must not be negative");
  }
}
