package io.hawthornlb.gateway.relay;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides whether a call to the store goes to the store directly, to a peer, or nowhere. Performs
 * no I/O; the time is passed in.
 *
 * <p>This class is a circuit breaker. The store may refuse some gateways, or be cut off from them,
 * for seconds while it serves the others. A call that first waits for the store itself loses more
 * time than callers wait for a job to be accepted. Therefore, once a call got no reply, calls go to
 * peers, and a direct call now and then probes whether the store is available again.
 *
 * <p>A call that began during an outage may end without a reply after the outage. The store would
 * then count as unavailable although it has replied meanwhile. Therefore calls are numbered as they
 * begin, and a missing reply counts only if no call was answered since its call began.
 *
 * <p>A probe that is a waiting read would show only seconds later that the store is available.
 * Therefore waiting calls and calls that are answered immediately have separate probe schedules.
 */
final class StoreAvailability {

  /**
   * Initial interval between two probes. Entries that lapsed during an outage must be visible again
   * within 2 s after its end, and each call costs money.
   */
  static final Duration MIN_PROBE_INTERVAL = Duration.ofMillis(200);

  /** Maximum interval between two probes. */
  static final Duration MAX_PROBE_INTERVAL = Duration.ofMillis(800);

  /**
   * Time for which no peer is tried after none could help. While the store is unavailable to all,
   * each call would otherwise try two peers in vain.
   */
  static final Duration PEERS_PAUSE = Duration.ofMillis(300);

  /**
   * Maximum timeout of a call that is answered immediately; the timeout of a waiting read also
   * contains its wait.
   */
  static final Duration MAX_IMMEDIATE_TIMEOUT = Duration.ofSeconds(1);

  private final ProbeSchedule waitingProbes = new ProbeSchedule();
  private final ProbeSchedule immediateProbes = new ProbeSchedule();
  private boolean unavailable;
  private long begun;
  private long begunAtReply;
  private Instant peersPausedUntil = Instant.MIN;

  /** Returns whether the store is unavailable to direct calls. */
  boolean unavailable() {
    return unavailable;
  }

  /** Records that a direct call begins; returns its number. */
  long begin() {
    begun++;
    return begun;
  }

  /**
   * Records that the store replied to a direct call; returns whether the store was unavailable
   * before.
   */
  boolean recordReply() {
    begunAtReply = begun;
    boolean recovered = unavailable;
    unavailable = false;
    waitingProbes.reset();
    immediateProbes.reset();
    return recovered;
  }

  /**
   * Records that a direct call got no reply; returns whether this makes the store unavailable.
   *
   * @param number number of the call
   */
  boolean recordNoReply(long number, Instant now) {
    return number > begunAtReply && recordRefusal(now);
  }

  /**
   * Records that the store refused a direct call; returns whether the store was available before.
   */
  boolean recordRefusal(Instant now) {
    boolean becameUnavailable = !unavailable;
    if (becameUnavailable) {
      unavailable = true;
      waitingProbes.start(now);
      immediateProbes.start(now);
    }
    return becameUnavailable;
  }

  /**
   * Returns whether the call is to be made directly as a probe.
   *
   * @param timeout timeout of the call
   */
  boolean probeDue(Instant now, Duration timeout) {
    return unavailable
        && (timeout.compareTo(MAX_IMMEDIATE_TIMEOUT) > 0 ? waitingProbes : immediateProbes)
            .advanceIfDue(now);
  }

  /** Returns whether peers may be tried. */
  boolean mayTryPeers(Instant now) {
    return !now.isBefore(peersPausedUntil);
  }

  /** Records that no peer could help. */
  void peersFailed(Instant now) {
    peersPausedUntil = now.plus(PEERS_PAUSE);
  }

  /** Schedule of the probes of one kind of calls, with exponential backoff. */
  private static final class ProbeSchedule {

    private Duration interval = MIN_PROBE_INTERVAL;
    private Instant next = Instant.MIN;

    private void reset() {
      interval = MIN_PROBE_INTERVAL;
    }

    private void start(Instant now) {
      next = now.plus(interval);
    }

    private boolean advanceIfDue(Instant now) {
      if (now.isBefore(next)) {
        return false;
      }
      Duration doubled = interval.multipliedBy(2);
      interval = doubled.compareTo(MAX_PROBE_INTERVAL) > 0 ? MAX_PROBE_INTERVAL : doubled;
      next = now.plus(interval);
      return true;
    }
  }
}
