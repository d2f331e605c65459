package io.hawthornlb.standin.engine;

import io.micronaut.http.HttpStatus;

/** An engine does not run what it was asked to; the status tells whether asking again can help. */
public final class EngineRefusalException extends RuntimeException {

  private final transient HttpStatus status;

  /** Carries the status of the answer. */
  public EngineRefusalException(HttpStatus status, String message) {
    super(message);
    this.status = status;
  }

  /** Returns the status of the answer. */
  public HttpStatus status() {
    return status;
  }
}
