package io.hawthornlb.standin.engine;

import io.micronaut.http.HttpStatus;

/**
 * Thrown when an engine rejects a request or an order. The HTTP status tells the caller whether a
 * retry can succeed.
 */
public final class EngineRefusalException extends RuntimeException {

  private final transient HttpStatus status;

  /** Creates an exception with the HTTP status of the error response. */
  public EngineRefusalException(HttpStatus status, String message) {
    super(message);
    this.status = status;
  }

  /** Returns the HTTP status of the error response. */
  public HttpStatus status() {
    return status;
  }
}
