package io.hawthornlb.app.partition;

import static io.hawthornlb.app.entry.MessageHandlers.oneWay;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.hawthornlb.app.dispatch.PlainService;
import io.hawthornlb.app.entry.DecisionLoop;
import io.hawthornlb.app.entry.EffectSink;
import io.hawthornlb.app.entry.LogAccess;
import io.hawthornlb.app.http.CatalogueSource;
import io.hawthornlb.core.claim.ClaimView;
import io.hawthornlb.core.job.JobAnswer;
import io.hawthornlb.core.job.JobSettings;
import io.hawthornlb.core.job.support.FairDeadlineJobOrder;
import io.hawthornlb.core.log.RecordIdSource;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.runonce.ReplicaTable;
import io.hawthornlb.core.runonce.RunOnceAnswered;
import io.hawthornlb.core.runonce.RunOnceSettings;
import io.hawthornlb.core.runonce.support.DefaultRunOnceForwarder;
import io.hawthornlb.core.runonce.support.InMemoryReplicaTable;
import io.hawthornlb.net.peer.PeerHandlerRegistry;
import io.hawthornlb.net.platform.MissedRecordSource;
import java.time.Duration;
import java.time.InstantSource;

/** Wires the components of an instance that process jobs and run-once requests. */
public final class PartitionPlane {

  private static final int MAX_FORWARDED_REQUESTS = 10_000;
  private static final long REPLICA_TABLE_BYTES = 16 << 20;
  private static final Duration URGENT_WINDOW = Duration.ofMinutes(10);
  private static final double DEFAULT_WEIGHT = 1;

  private final PartitionContext context;
  private final PartitionHosts hosts;
  private final PartitionMessages messages;
  private final JobHolderClient holderClient;
  private final RunOnceService runOnce;
  private final JobService jobs;
  private final JobReader reader;

  /** Creates the components of an instance. */
  public PartitionPlane(
      InstanceId self,
      ClaimView claims,
      LogAccess log,
      MissedRecordSource missed,
      RecordIdSource ids,
      EffectSink outward,
      PlainService direct,
      CatalogueSource catalogue,
      DecisionLoop loop,
      InstantSource clock) {
    int partitions = claims.partitions();
    ReplicaTable replicaTable = new InMemoryReplicaTable(self, REPLICA_TABLE_BYTES);
    this.context =
        new PartitionContext(
            loop,
            log,
            missed,
            ids,
            replicaTable,
            new FairDeadlineJobOrder(URGENT_WINDOW, workspace -> weight(catalogue, workspace)),
            JobSettings.builder().build(),
            RunOnceSettings.builder().build(),
            clock);
    this.hosts =
        new PartitionHosts(self, claims, context, outward, new CallRunner(direct, catalogue, loop));
    this.messages = new PartitionMessages(hosts, replicaTable, outward, clock, partitions);
    this.holderClient = new JobHolderClient(claims, outward, loop, clock);
    this.runOnce =
        new RunOnceService(
            direct,
            new DefaultRunOnceForwarder(self, claims, MAX_FORWARDED_REQUESTS),
            outward,
            loop,
            clock);
    this.reader = new JobReader(hosts, context, partitions);
    this.jobs = new JobService(self, context, holderClient, reader, new ObjectMapper(), partitions);
  }

  /** Registers the handlers of messages about partitions. */
  public void register(PeerHandlerRegistry.Builder builder) {
    messages.register(builder);
    builder
        .register(JobAnswer.class, oneWay(holderClient::onAnswer))
        .register(RunOnceAnswered.class, oneWay(runOnce::onAnswer));
  }

  /**
   * Runs the time-dependent work of all components. Call this method on the decision loop, several
   * times a second.
   */
  public void tick() {
    hosts.tick();
    holderClient.tick();
    runOnce.tick();
  }

  /** Returns the partitions that this instance folds. */
  public PartitionHosts hosts() {
    return hosts;
  }

  /** Returns the service for calls of plain services. */
  public RunOnceService runOnce() {
    return runOnce;
  }

  /** Returns the service that accepts and cancels jobs. */
  public JobService jobs() {
    return jobs;
  }

  /** Returns the reader of job status and results. */
  public JobReader reader() {
    return reader;
  }

  private static double weight(CatalogueSource catalogue, WorkspaceId workspace) {
    return catalogue
        .current()
        .catalogue()
        .workspace(workspace)
        .map(entry -> entry.weight())
        .orElse(DEFAULT_WEIGHT);
  }
}
