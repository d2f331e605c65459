package io.hawthornlb.gateway.wire;

/**
 * Limits on the bytes of an answer from an endpoint in trouble, which may send bytes without end.
 *
 * <p>An answer that somebody gets has no limit: it is passed on as fast as its caller reads, until
 * the route's timeout.
 */
public final class AnswerLimits {

  /**
   * Bytes that an endpoint may send without a further event: an event that has not ended, comments
   * and empty lines. An event holds a few tokens.
   */
  public static final int WITHOUT_EVENT_BYTES = 262_144;

  private AnswerLimits() {}
}
