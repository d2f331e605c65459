package io.hawthornlb.core.admission.support;

import io.hawthornlb.core.admission.AdmissionRequest;
import java.time.Instant;

/** An offered request that waits or runs. */
final class Ticket {

  private final AdmissionRequest request;
  private final long number;
  private Instant startedAt = Instant.MIN;
  private boolean running;

  Ticket(AdmissionRequest request, long number) {
    this.request = request;
    this.number = number;
  }

  AdmissionRequest request() {
    return request;
  }

  /** Returns its place in the order of arrival. */
  long number() {
    return number;
  }

  boolean running() {
    return running;
  }

  Instant startedAt() {
    return startedAt;
  }

  void start(Instant now) {
    running = true;
    startedAt = now;
  }
}
