package io.hawthornlb.app.partition;

import io.hawthornlb.app.entry.DecisionLoop;
import io.hawthornlb.app.entry.LogAccess;
import io.hawthornlb.core.job.JobOrder;
import io.hawthornlb.core.job.JobSettings;
import io.hawthornlb.core.log.RecordIdSource;
import io.hawthornlb.core.runonce.ReplicaTable;
import io.hawthornlb.core.runonce.RunOnceSettings;
import io.hawthornlb.net.platform.MissedRecordSource;
import java.time.InstantSource;

/**
 * The dependencies and settings that all partitions of an instance share.
 *
 * @param loop the decision loop
 * @param log the platform's log
 * @param missed the source of log records while the platform is unreachable
 * @param ids creates the ids of the records that this instance appends
 * @param replicaTable the run-once entries that this instance keeps as a replica
 * @param order chooses the job whose items are dispatched next
 * @param jobs the limits and timeouts of jobs
 * @param runOnce the limits and timeouts of run-once requests
 * @param clock the current time
 */
public record PartitionContext(
    DecisionLoop loop,
    LogAccess log,
    MissedRecordSource missed,
    RecordIdSource ids,
    ReplicaTable replicaTable,
    JobOrder order,
    JobSettings jobs,
    RunOnceSettings runOnce,
    InstantSource clock) {}
