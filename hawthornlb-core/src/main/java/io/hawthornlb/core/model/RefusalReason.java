package io.hawthornlb.core.model;

/** Why a request was refused; the wire name ends the problem type. */
public enum RefusalReason {
  /** The request is malformed; the findings say where. */
  INVALID_REQUEST("invalid-request", 400),
  /** The caller gave no key, or one that the catalogue does not hold. */
  UNAUTHORIZED("unauthorized", 401),
  /** The service, job or path does not exist for this workspace. */
  NOT_FOUND("not-found", 404),
  /** The same idempotency key came with other content. */
  KEY_CONFLICT("key-conflict", 409),
  /** The body is larger than the limit. */
  TOO_LARGE("too-large", 413),
  /** The workspace or class is over its limit. */
  LIMIT_EXCEEDED("limit-exceeded", 429),
  /** The deadline cannot be met, so the request is not started. */
  DEADLINE_UNREACHABLE("deadline-unreachable", 503),
  /** No endpoint of the service can take the request now. */
  NO_ENDPOINT("no-endpoint", 503),
  /** A request that must not run twice cannot be made durable now. */
  NOT_DURABLE("not-durable", 503),
  /** The request has crashed endpoints and is not tried again. */
  CRASHES_ENDPOINTS("crashes-endpoints", 422),
  /** The endpoint failed after it had received the request. */
  ENDPOINT_FAILED("endpoint-failed", 502),
  /** The deadline passed while an endpoint had the request. */
  TIMEOUT("timeout", 504),
  /** The instance stops and takes no new work. */
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
