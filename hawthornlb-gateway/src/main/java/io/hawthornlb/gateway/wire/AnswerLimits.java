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

  /** Bytes of a body that nobody gets, up to which its connection is kept for other requests. */
  public static final int UNUSED_BODY_BYTES = 65_536;

  /** Characters of the output of an item, beyond what a model writes. */
  public static final int ITEM_OUTPUT_CHARS = 1_000_000;

  /** Bytes before the answer of the request that waits: informational ones, and those of others. */
  public static final int BEFORE_ANSWER_BYTES = 1_048_576;

  private AnswerLimits() {}
}
