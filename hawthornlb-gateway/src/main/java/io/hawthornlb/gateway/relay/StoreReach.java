package io.hawthornlb.gateway.relay;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides whether a call to the store goes there directly, by a peer, or not at all. No I/O; time
 * is passed in.
 *
 * <p>Failure: a call that began in an outage ends without a reply after its end. It would show as a
 * store that counts as away though it has answered meanwhile. Guard: calls are numbered as they
 * begin, and a missing reply counts only if no call has been answered since its call began.
 *
 * <p>Load pattern: the store turns away or is cut off from some gateways for seconds and serves the
 * others. Each call that first waits for the store itself loses more time than callers wait for a
 * job to be taken. So once a call got no answer, calls go to peers, and one now and then finds out
 * whether the store answers again.
 *
 * <p>Failure: the call that is to find that out is a read that waits, and tells so seconds later.
 * Guard: calls that wait and calls that are answered at once take turns of their own.
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

  /**
   * Longest time that a call has if it is answered at once; a read that waits has its wait more.
   */
  static final Duration AT_ONCE = Duration.ofSeconds(1);

  private final Turn waiting = new Turn();
  private final Turn atOnce = new Turn();
  private boolean away;
  private long begun;
  private long begunAtAnswer;
  private Instant peersAgain = Instant.MIN;

  /** Returns whether the store does not answer direct calls. */
  boolean away() {
    return away;
  }

  /** Takes that a direct call begins; returns its number. */
  long begin() {
    begun++;
    return begun;
  }

  /** Takes that the store answered a direct call; returns whether it was away before. */
  boolean answered() {
    begunAtAnswer = begun;
    boolean regained = away;
    away = false;
    waiting.reset();
    atOnce.reset();
    return regained;
  }

  /**
   * Takes that a direct call got no reply; returns whether the store counts as away only from now.
   *
   * @param number number of the call
   */
  boolean unanswered(long number, Instant now) {
    return number > begunAtAnswer && refused(now);
  }

  /** Takes that the store turned a direct call away; returns whether it was there before. */
  boolean refused(Instant now) {
    boolean lost = !away;
    if (lost) {
      away = true;
      waiting.lost(now);
      atOnce.lost(now);
    }
    return lost;
  }

  /**
   * Returns whether a direct call is due to find out whether the store answers again.
   *
   * @param timeout time that the call has
   */
  boolean probeDue(Instant now, Duration timeout) {
    return away && (timeout.compareTo(AT_ONCE) > 0 ? waiting : atOnce).take(now);
  }

  /** Returns whether peers may be asked. */
  boolean peersMayHelp(Instant now) {
    return !now.isBefore(peersAgain);
  }

  /** Takes that no peer could help. */
  void peersFailed(Instant now) {
    peersAgain = now.plus(PEERS_PAUSE);
  }

  /** When the next direct call of a kind is due. */
  private static final class Turn {

    private Duration every = FIRST_PROBE;
    private Instant next = Instant.MIN;

    private void reset() {
      every = FIRST_PROBE;
    }

    private void lost(Instant now) {
      next = now.plus(every);
    }

    private boolean take(Instant now) {
      if (now.isBefore(next)) {
        return false;
      }
      Duration doubled = every.multipliedBy(2);
      every = doubled.compareTo(MAX_PROBE) > 0 ? MAX_PROBE : doubled;
      next = now.plus(every);
      return true;
    }
  }
}
