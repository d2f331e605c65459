package io.hawthornlb.gateway.job;

import com.dynatrace.hash4j.hashing.Hashing;
import io.hawthornlb.gateway.decode.UnreadableException;
import io.hawthornlb.gateway.store.LogStore;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;

/** Maps jobs to partitions, and keeps this process's replicas of partitions. */
final class JobReplicas {

  /** Keyed topic that contains the records of all jobs. */
  static final String TOPIC = "keyed.jobs";

  private final LogStore store;
  private final int partitions;
  private final Executor executor;
  private final LoadLimiter loadLimiter = new LoadLimiter();
  private final Map<Integer, JobReplica> replicas = new HashMap<>();
  private BiConsumer<String, UnreadableException> unreadable = (key, cause) -> {};

  JobReplicas(LogStore store, int partitions, Executor executor) {
    this.store = store;
    this.partitions = partitions;
    this.executor = executor;
  }

  /** Returns the partition of a job, which depends only on the id that the caller chose. */
  int partition(String jobId) {
    long hash = Hashing.wyhashFinal4().hashCharsToLong(JobScope.callerId(jobId));
    return (int) Long.remainderUnsigned(hash, partitions);
  }

  JobReplica replica(int partition) {
    return replicas.computeIfAbsent(partition, this::create);
  }

  /** Sets the listener for records that cannot be decoded; receives the key and the cause. */
  void onUnreadable(BiConsumer<String, UnreadableException> listener) {
    unreadable = listener;
  }

  private JobReplica create(int partition) {
    JobReplica replica = new JobReplica(store, TOPIC, partition, loadLimiter, executor);
    replica.table().onUnreadable((key, cause) -> unreadable.accept(key, cause));
    return replica;
  }

  /** Discards what was read of a partition, if anything was. */
  void forget(int partition) {
    replicas.remove(partition);
  }

  /** Returns the number of bytes that this process has read of a partition. */
  long bytes(int partition) {
    JobReplica replica = replicas.get(partition);
    return replica == null ? 0 : replica.table().bytes();
  }

  JobReplica of(String jobId) {
    return replica(partition(jobId));
  }
}
