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
 * What all partitions of an instance share.
 *
 * @param loop the thread of all deciders
 * @param log the platform's log
 * @param missed where to get records while the platform is away
 * @param ids numbers the records of this instance
 * @param witnesses what this instance keeps as a witness
 * @param order chooses among jobs
 * @param jobs limits and times of jobs
 * @param runOnce limits and times of run-once requests
 * @param clock the current time
 */
public record PartitionContext(
    DecisionLoop loop,
    LogAccess log,
    MissedRecordSource missed,
    RecordIdSource ids,
    ReplicaTable witnesses,
    JobOrder order,
    JobSettings jobs,
    RunOnceSettings runOnce,
    InstantSource clock) {}
