package io.hawthornlb.standin.load.support;

import io.hawthornlb.standin.load.Burst;
import io.hawthornlb.standin.load.Phase;
import io.hawthornlb.standin.report.FlowLabel;
import io.hawthornlb.standin.report.Latency;
import io.hawthornlb.standin.report.Outcome;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** A flow of requests, each of which can be sent at any time. */
interface RequestFlow {

  /** Returns what labels its results. */
  FlowLabel label();

  /** Returns the times with a rate of arrivals. */
  List<Phase> phases();

  /** Returns the bursts of arrivals. */
  List<Burst> bursts();

  /** Sends the request of this number, which is meant to start at this time of the run. */
  CompletableFuture<Ended> send(int number, long intendedNanos);

  /** How a request ended. */
  record Ended(Outcome outcome, Latency latency) {}
}
