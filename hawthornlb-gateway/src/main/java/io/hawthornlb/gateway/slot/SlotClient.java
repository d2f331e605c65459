package io.hawthornlb.gateway.slot;

import io.hawthornlb.gateway.wire.ReportedLoad;

/** Gets slots for requests of this gateway. */
public interface SlotClient {

  /**
   * Asks for a slot.
   *
   * @param request what is asked for; its key comes from {@link #nextKey()}
   * @param listener told once of a grant or a refusal, and later perhaps of a revocation
   */
  void acquire(SlotRequest request, Listener listener);

  /** Ends a use, or the wait for it. */
  void release(SlotKey key, SlotOutcome outcome);

  /**
   * Tells that the endpoint of a use is silent, so that others are placed elsewhere meanwhile; told
   * again while it stays so.
   */
  void suspect(SlotKey key);

  /** Tells the load that the endpoint of a use told. */
  void told(SlotKey key, ReportedLoad load);

  /** Returns the key of a new request. */
  SlotKey nextKey();

  /** Receives the answers to a request for a slot. */
  interface Listener {

    /** Takes an answer; never {@link SlotAnswer.Waiting}. */
    void onAnswer(SlotAnswer answer);
  }
}
