package io.hawthornlb.core.admission.support;

import io.hawthornlb.core.admission.AdmissionRequest;
import java.time.Instant;

/** State of an offered request that waits or runs. */
final class Ticket {

  private final AdmissionRequest request;
  private final long number;
  private final Instant startBy;
  private Instant startedAt = Instant.MIN;
  private boolean running;

  Ticket(AdmissionRequest request, long number, Instant startBy) {
    this.request = request;
    this.number = number;
    this.startBy = startBy;
  }

  AdmissionRequest request() {
    return request;
  }

  /** Returns the position of the request in the order of arrival. */
  long number() {
    return number;
  }

  /** Returns the time after which it is useless for the caller to start the request. */
  Instant startBy() {
    return startBy;
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
