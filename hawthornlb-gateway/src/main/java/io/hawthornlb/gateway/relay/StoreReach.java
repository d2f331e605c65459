package io.hawthornlb.gateway.relay;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides whether a call to the store goes there directly, by a peer, or not at all. No I/O; time
 * is passed in.
 *
 * <p>Load pattern: the store turns away or is cut off from some gateways for seconds and serves the
 * others. Each call that first waits for the store itself loses up to 0.9 s, more than callers wait
 * for a job to be taken. So once a call got no answer, calls go to peers, and one now and then
 * finds out whether the store answers again.
 */
final class StoreReach {

  /**
   * First time between two direct calls that find out whether the store answers again; entries are
   * to be seen within 2 s of an outage's end, and calls are paid for.
   */
  static final Duration FIRST_PROBE = Duration.ofMillis(200);

  /** Longest such time. */
  static final Duration MAX_PROBE = Duration.ofMillis(800);

  /**
   * Time for which no peer is asked after none could help: while the store is away for all, each
   * call would ask two peers in vain.
   */
  static final Duration PEERS_PAUSE = Duration.ofMillis(300);

  private boolean away;
  private Duration probeEvery = FIRST_PROBE;
  private Instant nextProbe = Instant.MIN;
  private Instant peersAgain = Instant.MIN;

  /** Returns whether the last direct call got no answer. */
  boolean away() {
    return away;
  }

  /** Takes that the store answered a direct call; returns whether it was away before. */
  boolean answered() {
    boolean regained = away;
    away = false;
    probeEvery = FIRST_PROBE;
    return regained;
  }

  /** Takes that a direct call got no answer; returns whether the store was there before. */
  boolean failed(Instant now) {
    boolean lost = !away;
    if (lost) {
      away = true;
      nextProbe = now.plus(probeEvery);
    }
    return lost;
  }

  /** Returns whether a direct call is due to find out whether the store answers again. */
  boolean probeDue(Instant now) {
    if (!away || now.isBefore(nextProbe)) {
      return false;
    }
    Duration doubled = probeEvery.multipliedBy(2);
    probeEvery = doubled.compareTo(MAX_PROBE) > 0 ? MAX_PROBE : doubled;
    nextProbe = now.plus(probeEvery);
    return true;
  }

  /** Returns whether peers may be asked. */
  boolean peersMayHelp(Instant now) {
    return !now.isBefore(peersAgain);
  }

  /** Takes that no peer could help. */
  void peersFailed(Instant now) {
    peersAgain = now.plus(PEERS_PAUSE);
  }
}
