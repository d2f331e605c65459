package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.front.FrontRequest;
import io.hawthornlb.gateway.http.HttpReply;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** The other processes, as far as calls about jobs are concerned. */
public interface JobPeers {

  /** Returns the name of this process. */
  String self();

  /** Returns the number of processes of the fleet, this one among them. */
  int instances();

  /** Returns whether a process is known and does not seem silent. */
  boolean reachable(String name);

  /**
   * Returns the process that stands in for the holder of a partition while it does not answer:
   * every process names the same one, which loads the partition for all. Empty if there is none.
   */
  Optional<String> deputy(int partition, String holder);

  /**
   * Has a process answer a caller's request from the jobs that it has read.
   *
   * @param patience time within which its answer must be there, or else the stage fails
   */
  CompletionStage<HttpReply> ask(String name, FrontRequest request, Duration patience);
}
