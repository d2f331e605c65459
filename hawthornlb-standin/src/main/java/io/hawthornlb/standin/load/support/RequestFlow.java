package io.hawthornlb.standin.load.support;

import io.hawthornlb.standin.load.Burst;
import io.hawthornlb.standin.load.Phase;
import io.hawthornlb.standin.report.FlowLabel;
import io.hawthornlb.standin.report.Latency;
import io.hawthornlb.standin.report.Outcome;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** A flow of numbered requests, which are sent independently of each other. */
interface RequestFlow {

  /** Returns the label of the results of this flow. */
  FlowLabel label();

  /** Returns the time spans in which requests arrive at random. */
  List<Phase> phases();

  /** Returns the bursts of requests. */
  List<Burst> bursts();

  /**
   * Sends a request, with retries if the flow has them.
   *
   * @param number the number of the request within the flow
   * @param intendedNanos the intended start, from the start of the run
   */
  CompletableFuture<EndedRequest> send(int number, long intendedNanos);

  /** The outcome and the latency of a request that has ended. */
  record EndedRequest(Outcome outcome, Latency latency) {}
}
