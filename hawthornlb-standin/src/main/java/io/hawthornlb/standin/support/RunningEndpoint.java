package io.hawthornlb.standin.support;

import io.hawthornlb.standin.RunningStandin;
import io.hawthornlb.standin.fault.ActiveFaults;
import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntSupplier;

/**
 * A running endpoint stand-in.
 *
 * @param server the HTTP server
 * @param faults the active faults
 * @param announcer the announcer, which is closed before the server
 * @param inProgress returns the number of requests in progress
 * @param atEnd runs after the server is closed
 */
public record RunningEndpoint(
    StandinServer server,
    ActiveFaults faults,
    Announcer announcer,
    IntSupplier inProgress,
    Runnable atEnd)
    implements RunningStandin {

  private static final long POLL_NANOS = 5_000_000;

  @Override
  public int port() {
    return server.port();
  }

  @Override
  public void leave() {
    faults.leave();
    announcer.announceNow();
  }

  @Override
  public boolean awaitIdle(Duration limit) {
    long end = System.nanoTime() + limit.toNanos();
    while (inProgress.getAsInt() > 0 && System.nanoTime() < end) {
      LockSupport.parkNanos(POLL_NANOS);
    }
    return inProgress.getAsInt() == 0;
  }

  @Override
  public void close() {
    announcer.close();
    server.close();
    atEnd.run();
  }
}
