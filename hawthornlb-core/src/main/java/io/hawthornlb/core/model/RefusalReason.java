package io.hawthornlb.core.model;

/** Reason for which a request is refused. The wire name is the last part of the problem type. */
public enum RefusalReason {
  /** The request is malformed; the findings list its faults. */
  INVALID_REQUEST("invalid-request", 400),
  /** The caller sent no key, or a key that is not in the catalogue. */
  UNAUTHORIZED("unauthorized", 401),
  /** The service, job or path does not exist for this workspace. */
  NOT_FOUND("not-found", 404),
  /** The idempotency key was used before with other content. */
  KEY_CONFLICT("key-conflict", 409),
  /** The body exceeds the size limit. */
  TOO_LARGE("too-large", 413),
  /** The workspace or the request class exceeds its limit. */
  LIMIT_EXCEEDED("limit-exceeded", 429),
  /** The deadline cannot be met, so the request is not started. */
  DEADLINE_UNREACHABLE("deadline-unreachable", 503),
  /** No endpoint of the service can accept the request at present. */
  NO_ENDPOINT("no-endpoint", 503),
  /** The request must not run twice, and its intent cannot be made durable at present. */
  NOT_DURABLE("not-durable", 503),
  /** The request has crashed endpoints and is not retried. */
  CRASHES_ENDPOINTS("crashes-endpoints", 422),
  /** The endpoint failed after it had received the request. */
  ENDPOINT_FAILED("endpoint-failed", 502),
  /** The deadline passed while an endpoint had the request. */
  TIMEOUT("timeout", 504),
  /** The instance is stopping and accepts no new work. */
  STOPPING("stopping", 503);

  private final String wireName;
  private final int httpStatus;

  RefusalReason(String wireName, int httpStatus) {
    this.wireName = wireName;
    this.httpStatus = httpStatus;
  }

  /** Returns the last part of the problem type. */
  public String wireName() {
    return wireName;
  }

  /** Returns the HTTP status that carries this refusal. */
  public int httpStatus() {
    return httpStatus;
  }
}
