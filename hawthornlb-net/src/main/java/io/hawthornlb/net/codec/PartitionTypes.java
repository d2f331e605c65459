package io.hawthornlb.net.codec;

import io.hawthornlb.core.job.CancelJob;
import io.hawthornlb.core.job.ItemFailed;
import io.hawthornlb.core.job.ItemFinished;
import io.hawthornlb.core.job.ItemOutcomes;
import io.hawthornlb.core.job.ItemsCancelled;
import io.hawthornlb.core.job.ItemsDispatched;
import io.hawthornlb.core.job.ItemsHeld;
import io.hawthornlb.core.job.ItemsSettled;
import io.hawthornlb.core.job.ItemsStarted;
import io.hawthornlb.core.job.JobAccepted;
import io.hawthornlb.core.job.JobAnswer;
import io.hawthornlb.core.job.JobCancelled;
import io.hawthornlb.core.job.JobChunk;
import io.hawthornlb.core.job.JobSnapshot;
import io.hawthornlb.core.job.PullJobItems;
import io.hawthornlb.core.job.SubmitJob;
import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.partition.PartitionOpened;
import io.hawthornlb.core.partition.SnapshotCompleted;
import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.core.runonce.EntriesRecorded;
import io.hawthornlb.core.runonce.EntriesStored;
import io.hawthornlb.core.runonce.FenceAndCollect;
import io.hawthornlb.core.runonce.ForgetEntries;
import io.hawthornlb.core.runonce.ForwardRunOnce;
import io.hawthornlb.core.runonce.LateOutcome;
import io.hawthornlb.core.runonce.ReplicaContents;
import io.hawthornlb.core.runonce.ReplicasNamed;
import io.hawthornlb.core.runonce.ReplicasReleased;
import io.hawthornlb.core.runonce.RunOnceAnswered;
import io.hawthornlb.core.runonce.StoreEntries;

/**
 * Registers the wire names of the records and messages of partitions.
 *
 * <p>A name that has been used must never be given to another type, since stored records and other
 * versions still use the name with the old meaning.
 */
public final class PartitionTypes {

  private PartitionTypes() {}

  /** Registers the records of the partition streams. */
  public static TypeRegistry.Builder<RecordBody> records(TypeRegistry.Builder<RecordBody> builder) {
    return builder
        .register("partition-opened", PartitionOpened.class)
        .register("snapshot-completed", SnapshotCompleted.class)
        .register("job-chunk", JobChunk.class)
        .register("job-accepted", JobAccepted.class)
        .register("job-cancelled", JobCancelled.class)
        .register("job-snapshot", JobSnapshot.class)
        .register("items-started", ItemsStarted.class)
        .register("item-outcomes", ItemOutcomes.class)
        .register("run-once-entries", EntriesRecorded.class)
        .register("witnesses-named", ReplicasNamed.class)
        .register("witnesses-released", ReplicasReleased.class);
  }

  /** Registers the messages between holders, dispatchers, replicas and other entry instances. */
  public static TypeRegistry.Builder<PeerMessage> messages(
      TypeRegistry.Builder<PeerMessage> builder) {
    return builder
        .register("submit-job", SubmitJob.class)
        .register("cancel-job", CancelJob.class)
        .register("job-answer", JobAnswer.class)
        .register("pull-job-items", PullJobItems.class)
        .register("items-dispatched", ItemsDispatched.class)
        .register("items-cancelled", ItemsCancelled.class)
        .register("items-held", ItemsHeld.class)
        .register("items-settled", ItemsSettled.class)
        .register("item-finished", ItemFinished.class)
        .register("item-failed", ItemFailed.class)
        .register("forward-run-once", ForwardRunOnce.class)
        .register("run-once-answered", RunOnceAnswered.class)
        .register("store-entries", StoreEntries.class)
        .register("entries-stored", EntriesStored.class)
        .register("forget-entries", ForgetEntries.class)
        .register("fence-and-collect", FenceAndCollect.class)
        .register("witness-contents", ReplicaContents.class)
        .register("late-outcome", LateOutcome.class);
  }
}
