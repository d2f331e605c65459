package io.hawthornlb.standin;

import java.time.Duration;

/** A running stand-in. */
public interface RunningStandin extends AutoCloseable {

  /** Returns the port on which the stand-in listens. */
  int port();

  /** Returns the address of the stand-in as {@code host:port}. */
  default String address() {
    return "127.0.0.1:" + port();
  }

  /**
   * Marks the stand-in as leaving. An endpoint also announces this to the platform. The stand-in
   * still serves requests.
   */
  void leave();

  /**
   * Waits until no request is in progress, for at most {@code limit}. Returns whether no request is
   * in progress.
   */
  boolean awaitIdle(Duration limit);

  /** Withdraws the announcement and stops the stand-in without waiting for requests. */
  @Override
  void close();
}
