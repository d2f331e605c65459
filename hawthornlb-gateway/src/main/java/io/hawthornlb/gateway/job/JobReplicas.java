package io.hawthornlb.gateway.job;

import com.dynatrace.hash4j.hashing.Hashing;
import io.hawthornlb.gateway.decode.UnreadableException;
import io.hawthornlb.gateway.store.LogStore;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;

/** Finds the partition of a job, and the replica of a partition. */
final class JobReplicas {

  /** Keyed topic of all jobs. */
  static final String TOPIC = "keyed.jobs";

  private final LogStore store;
  private final int partitions;
  private final Executor executor;
  private final LoadGate gate = new LoadGate();
  private final Map<Integer, JobReplica> replicas = new HashMap<>();
  private BiConsumer<String, UnreadableException> unreadable = (key, cause) -> {};

  JobReplicas(LogStore store, int partitions, Executor executor) {
    this.store = store;
    this.partitions = partitions;
    this.executor = executor;
  }

  int partition(String jobId) {
    long hash = Hashing.wyhashFinal4().hashCharsToLong(jobId);
    return (int) Long.remainderUnsigned(hash, partitions);
  }

  JobReplica replica(int partition) {
    return replicas.computeIfAbsent(partition, this::created);
  }

  /** Calls a listener with the key of each record that cannot be read, and what is wrong. */
  void onUnreadable(BiConsumer<String, UnreadableException> listener) {
    unreadable = listener;
  }

  private JobReplica created(int partition) {
    JobReplica replica = new JobReplica(store, TOPIC, partition, gate, executor);
    replica.table().onUnreadable((key, cause) -> unreadable.accept(key, cause));
    return replica;
  }

  /** Forgets what was read of a partition, if anything was. */
  void forget(int partition) {
    replicas.remove(partition);
  }

  /** Returns the bytes that are known of a partition. */
  long bytes(int partition) {
    JobReplica replica = replicas.get(partition);
    return replica == null ? 0 : replica.table().bytes();
  }

  JobReplica of(String jobId) {
    return replica(partition(jobId));
  }
}
