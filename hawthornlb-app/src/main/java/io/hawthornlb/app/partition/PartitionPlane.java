package io.hawthornlb.app.partition;

import static io.hawthornlb.app.entry.MessageHandlers.heard;

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

/** Everything on this instance that jobs and run-once requests need. */
public final class PartitionPlane {

  private static final int MOST_RUN_ONCE = 10_000;
  private static final long WITNESS_BYTES = 16 << 20;
  private static final Duration URGENT = Duration.ofMinutes(10);
  private static final double EQUAL_WEIGHT = 1;

  private final PartitionContext context;
  private final PartitionHosts hosts;
  private final PartitionMessages messages;
  private final JobQuestionDesk desk;
  private final RunOnceService runOnce;
  private final JobService jobs;
  private final JobReader reader;

  /** Creates the plane of an instance. */
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
    ReplicaTable witnesses = new InMemoryReplicaTable(self, WITNESS_BYTES);
    this.context =
        new PartitionContext(
            loop,
            log,
            missed,
            ids,
            witnesses,
            new FairDeadlineJobOrder(URGENT, workspace -> weight(catalogue, workspace)),
            JobSettings.builder().build(),
            RunOnceSettings.builder().build(),
            clock);
    this.hosts =
        new PartitionHosts(self, claims, context, outward, new CallRunner(direct, catalogue, loop));
    this.messages = new PartitionMessages(hosts, witnesses, outward, clock, partitions);
    this.desk = new JobQuestionDesk(claims, outward, loop, clock);
    this.runOnce =
        new RunOnceService(
            direct, new DefaultRunOnceForwarder(self, claims, MOST_RUN_ONCE), outward, loop, clock);
    this.jobs = new JobService(self, context, desk, new ObjectMapper(), partitions);
    this.reader = new JobReader(hosts, context, partitions);
  }

  /** Adds the handlers of messages about partitions. */
  public void register(PeerHandlerRegistry.Builder builder) {
    messages.register(builder);
    builder
        .register(JobAnswer.class, heard(desk::answered))
        .register(RunOnceAnswered.class, heard(runOnce::answered));
  }

  /** Does what the passing of time calls for; on the loop, several times a second. */
  public void tick() {
    hosts.tick();
    desk.tick();
    runOnce.tick();
  }

  /** Returns the partitions that are folded here. */
  public PartitionHosts hosts() {
    return hosts;
  }

  /** Returns the service for calls of plain services. */
  public RunOnceService runOnce() {
    return runOnce;
  }

  /** Returns the service that takes jobs. */
  public JobService jobs() {
    return jobs;
  }

  /** Returns the reader of jobs. */
  public JobReader reader() {
    return reader;
  }

  private static double weight(CatalogueSource catalogue, WorkspaceId workspace) {
    return catalogue
        .current()
        .catalogue()
        .workspace(workspace)
        .map(entry -> entry.weight())
        .orElse(EQUAL_WEIGHT);
  }
}
