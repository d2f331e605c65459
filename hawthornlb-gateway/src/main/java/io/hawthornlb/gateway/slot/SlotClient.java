package io.hawthornlb.gateway.slot;

import io.hawthornlb.gateway.wire.ReportedLoad;

/** Acquires and releases slots for the requests of this gateway. */
public interface SlotClient {

  /**
   * Requests a slot.
   *
   * @param request the request for a slot; its key comes from {@link #nextKey()}
   * @param listener receives the grant or refusal once, and possibly a later revocation
   */
  void acquire(SlotRequest request, Listener listener);

  /** Releases a slot, or cancels the wait for one. */
  void release(SlotKey key, SlotOutcome outcome);

  /**
   * Reports that the endpoint of a slot is silent, so that the coordinator places other requests
   * elsewhere. The caller repeats the report while the endpoint stays silent.
   */
  void suspect(SlotKey key);

  /**
   * Takes back the charge against the limit of its workspace of a request that was granted a slot,
   * but that no endpoint has run.
   */
  void refund(SlotRequest request);

  /** Passes on the load that the endpoint of a slot reported, if it concerns the coordinator. */
  void reportLoad(SlotKey key, ReportedLoad load);

  /** Returns the key for a new request, unique in the fleet. */
  SlotKey nextKey();

  /** Receives the answers to a request for a slot. */
  interface Listener {

    /** Handles an answer, which is never {@link SlotAnswer.Waiting}. */
    void onAnswer(SlotAnswer answer);
  }
}
