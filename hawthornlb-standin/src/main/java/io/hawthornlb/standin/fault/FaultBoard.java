package io.hawthornlb.standin.fault;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/** The faults of one stand-in that are switched on; safe for use by many threads. */
public final class FaultBoard {

  private final InstantSource clock;
  private final Runnable exit;
  private final List<Fault> faults = new CopyOnWriteArrayList<>();
  private final AtomicBoolean leaving = new AtomicBoolean();
  private final AtomicLong connections = new AtomicLong();
  private volatile long silentUpTo;

  /**
   * Starts without faults.
   *
   * @param exit what ends the process when a request crashes it
   */
  public FaultBoard(InstantSource clock, Runnable exit) {
    this.clock = clock;
    this.exit = exit;
  }

  /**
   * Switches a fault on.
   *
   * @param duration how long it lasts; silenced connections stay so until {@link #clear}
   */
  public void start(FaultKind kind, Duration duration, long value, String match) {
    if (kind == FaultKind.SILENT) {
      silentUpTo = connections.get();
      return;
    }
    faults.add(new Fault(kind, value, match, clock.instant().plus(duration)));
  }

  /** Ends all faults, the silence of open connections included. */
  public void clear() {
    faults.clear();
    silentUpTo = 0;
  }

  /** Returns the fault of a kind that hits the request with this method and path. */
  public Optional<Fault> hitting(FaultKind kind, String requestLine) {
    if (faults.isEmpty()) {
      return Optional.empty();
    }
    dropEnded();
    return faults.stream()
        .filter(fault -> fault.kind() == kind && fault.hits(requestLine))
        .findFirst();
  }

  /** Returns whether a fault of this kind is on, whatever requests it hits. */
  public boolean active(FaultKind kind) {
    dropEnded();
    return faults.stream().anyMatch(fault -> fault.kind() == kind);
  }

  /** Numbers a connection that is now open. */
  public long nextConnection() {
    return connections.incrementAndGet();
  }

  /** Returns whether the connection of this number has gone silent. */
  public boolean silenced(long connection) {
    return connection <= silentUpTo;
  }

  /** Returns whether the process leaves, by a fault or for good. */
  public boolean leaving() {
    return leaving.get() || active(FaultKind.LEAVING);
  }

  /** Marks the process as leaving for good. */
  public void leave() {
    leaving.set(true);
  }

  /** Ends the process, as a request has crashed it. */
  public void crash() {
    exit.run();
  }

  private void dropEnded() {
    Instant now = clock.instant();
    faults.removeIf(fault -> !now.isBefore(fault.endsAt()));
  }
}
