package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.front.FrontRequest;
import io.hawthornlb.gateway.http.HttpReply;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** The other processes of the fleet, as recipients of calls about jobs. */
public interface JobPeers {

  /** Returns the name of this process. */
  String self();

  /** Returns the number of processes of the fleet, including this one. */
  int instances();

  /** Returns whether a process is known and is not suspected of being silent. */
  boolean reachable(String name);

  /**
   * Returns the standby of a partition: the process that answers calls about the partition's jobs
   * while its holder does not respond.
   *
   * <p>All processes choose the same standby, so that only one process loads the partition. The
   * result is empty if there is no standby.
   */
  Optional<String> standby(int partition, String holder);

  /**
   * Forwards a caller's request to a process, which answers from the jobs that it has read.
   *
   * @param timeout time after which the stage fails if no reply has arrived
   */
  CompletionStage<HttpReply> forward(String name, FrontRequest request, Duration timeout);
}
