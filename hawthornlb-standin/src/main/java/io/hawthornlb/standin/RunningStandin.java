package io.hawthornlb.standin;

import java.time.Duration;

/** A started stand-in. */
public interface RunningStandin extends AutoCloseable {

  /** Returns the port it listens on. */
  int port();

  /** Returns its address as {@code host:port}. */
  default String address() {
    return "127.0.0.1:" + port();
  }

  /** Tells the platform that this process leaves; requests are still served. */
  void leave();

  /** Waits until no request is in progress, at most {@code limit}, and returns whether none is. */
  boolean awaitIdle(Duration limit);

  /** Stops at once, and withdraws the announcement. */
  @Override
  void close();
}
