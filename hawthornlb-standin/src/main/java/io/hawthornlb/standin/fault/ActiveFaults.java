package io.hawthornlb.standin.fault;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/** The active faults of one stand-in. Thread-safe. */
public final class ActiveFaults {

  private final InstantSource clock;
  private final Runnable exit;
  private final List<Fault> faults = new CopyOnWriteArrayList<>();
  private final AtomicBoolean leaving = new AtomicBoolean();
  private final AtomicLong connections = new AtomicLong();
  private volatile long lastSilencedConnection;

  /**
   * Creates an instance without active faults.
   *
   * @param exit ends the process when a request triggers {@link FaultKind#CRASH_ON} or {@link
   *     FaultKind#CRASH_WRITING}
   */
  public ActiveFaults(InstantSource clock, Runnable exit) {
    this.clock = clock;
    this.exit = exit;
  }

  /**
   * Activates a fault.
   *
   * @param duration the duration of the fault; ignored for {@link FaultKind#SILENT}, which lasts
   *     until {@link #clear} is called
   */
  public void start(FaultKind kind, Duration duration, long value, String match) {
    if (kind == FaultKind.SILENT) {
      lastSilencedConnection = connections.get();
      return;
    }
    faults.add(new Fault(kind, value, match, clock.instant().plus(duration)));
  }

  /** Ends all faults, including those of silenced connections. */
  public void clear() {
    faults.clear();
    lastSilencedConnection = 0;
  }

  /** Returns an active fault of the given kind that matches the given text of a request. */
  public Optional<Fault> findMatching(FaultKind kind, String requestText) {
    if (faults.isEmpty()) {
      return Optional.empty();
    }
    removeExpired();
    return faults.stream()
        .filter(fault -> fault.kind() == kind && fault.matches(requestText))
        .findFirst();
  }

  /** Returns whether a fault of this kind is active, whichever requests it matches. */
  public boolean active(FaultKind kind) {
    removeExpired();
    return faults.stream().anyMatch(fault -> fault.kind() == kind);
  }

  /** Returns the number of a new connection; numbers increase in the order of calls. */
  public long nextConnection() {
    return connections.incrementAndGet();
  }

  /** Returns whether {@link FaultKind#SILENT} applies to the connection with this number. */
  public boolean isSilenced(long connection) {
    return connection <= lastSilencedConnection;
  }

  /**
   * Returns whether the process reports itself as leaving, because of {@link FaultKind#LEAVING} or
   * because {@link #leave} was called.
   */
  public boolean leaving() {
    return leaving.get() || active(FaultKind.LEAVING);
  }

  /** Marks the process as leaving permanently. */
  public void leave() {
    leaving.set(true);
  }

  /** Ends the process after a request has triggered a crash. */
  public void crash() {
    exit.run();
  }

  private void removeExpired() {
    Instant now = clock.instant();
    faults.removeIf(fault -> !now.isBefore(fault.endsAt()));
  }
}
