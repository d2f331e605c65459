package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.decode.UnreadableException;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import java.io.ByteArrayOutputStream;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;

/**
 * The jobs of one partition, folded from its records.
 *
 * <p>Applying a record twice, or applying records of different keys in another order, yields the
 * same jobs. Both occur: a list of newest records may contain records that a later read returns
 * again, and the list is in the order of the keys.
 */
final class JobTable {

  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Map<String, TreeMap<Integer, JobRecords.Part>> parts = new HashMap<>();
  private final Map<String, TreeMap<Integer, JobResult>> resultsBeforeJob = new HashMap<>();
  private final Set<String> ended = new HashSet<>();
  private final Set<String> destroyed = new LinkedHashSet<>();
  private final Set<String> damaged = new HashSet<>();
  private final Map<String, Map<String, Integer>> bytesByKey = new HashMap<>();
  private long bytes;
  private BiConsumer<String, UnreadableException> unreadable = (key, cause) -> {};

  Optional<Job> find(String jobId) {
    return Optional.ofNullable(jobs.get(jobId));
  }

  Collection<Job> all() {
    return jobs.values();
  }

  /** Returns a snapshot of the ids of all jobs that have records in this table. */
  Set<String> jobIds() {
    return Set.copyOf(bytesByKey.keySet());
  }

  /** Returns the keys of all records of a job. */
  Set<String> keys(String jobId) {
    return bytesByKey.getOrDefault(jobId, Map.of()).keySet();
  }

  /** Returns the total size in bytes of the newest record of each key that was read. */
  long bytes() {
    return bytes;
  }

  /**
   * Sets the listener for records that cannot be decoded.
   *
   * @param listener receives the key of the record and the cause
   */
  void onUnreadable(BiConsumer<String, UnreadableException> listener) {
    unreadable = listener;
  }

  /**
   * Returns whether a job may have been accepted whose records are incomplete or cannot be decoded.
   * Such a job cannot be used, but callers must not be told that it does not exist.
   */
  boolean maybeAccepted(String jobId) {
    return !jobs.containsKey(jobId) && (damaged.contains(jobId) || parts.containsKey(jobId));
  }

  /**
   * Applies a record.
   *
   * <p>Another writer may leave a record that cannot be decoded, or overwrite a valid one. Without
   * a guard no job of the partition could be read any more. Therefore such a record is reported to
   * the listener and skipped, and what is already known of its job stays.
   */
  void apply(KeyedRecord record) {
    JobRecords.Key key;
    try {
      key = JobRecords.key(record.key());
    } catch (UnreadableException e) {
      unreadable.accept(record.key(), e);
      return;
    }
    destroyed.remove(record.key());
    countBytes(key.jobId(), record);
    try {
      fold(key, record.value());
    } catch (UnreadableException e) {
      unreadable.accept(record.key(), e);
      destroyed.add(record.key());
    }
  }

  /**
   * Returns the records that another writer has destroyed in the log and that this process can
   * write again. A process that loads the log without them does not know what they held.
   *
   * <p>Each list contains records that belong together. A key that this process never writes is
   * left out.
   */
  List<List<KeyedRecord>> restorations() {
    Map<String, List<KeyedRecord>> lists = new LinkedHashMap<>();
    for (String destroyedKey : destroyed) {
      List<KeyedRecord> known = currentRecords(JobRecords.key(destroyedKey));
      if (known.stream().anyMatch(record -> record.key().equals(destroyedKey))) {
        lists.put(known.get(0).key(), known);
      }
    }
    return List.copyOf(lists.values());
  }

  /**
   * Returns the record that this process would write under a key; for a part of a job, all parts.
   */
  private List<KeyedRecord> currentRecords(JobRecords.Key key) {
    Job job = jobs.get(key.jobId());
    if (job != null && key.part()) {
      return JobRecords.accepted(job);
    }
    if (job != null && key.result()) {
      Optional<JobResult> result = job.result(key.number());
      return result.map(each -> JobRecords.result(job.id(), key.number(), each)).stream().toList();
    }
    boolean ended = job != null && key.end() && job.ended();
    return ended ? List.of(JobRecords.end(key.jobId())) : List.of();
  }

  private void fold(JobRecords.Key key, byte @Nullable [] value) {
    if (value == null) {
      drop(key);
    } else if (key.part()) {
      applyPart(key, value);
    } else if (key.result()) {
      applyResult(key, JobRecords.result(value));
    } else if (key.progress()) {
      JobRecords.Progress progress = JobRecords.progress(value);
      JobRecords.checkStart(key, progress);
      find(key.jobId()).ifPresent(job -> job.addProgress(progress));
    } else if (key.offer()) {
      JobResult offered = JobRecords.result(value);
      JobRecords.checkItem(key, offered.itemId());
      find(key.jobId()).ifPresent(job -> job.addOffer(offered));
    } else if (key.failures()) {
      JobRecords.Failures failures = JobRecords.failures(value);
      JobRecords.checkItem(key, failures.itemId());
      find(key.jobId()).ifPresent(job -> job.addFailures(failures));
    } else if (key.end()) {
      JobRecords.checkEnd(value);
      ended.add(key.jobId());
      find(key.jobId()).ifPresent(Job::end);
    }
  }

  private void countBytes(String jobId, KeyedRecord record) {
    byte[] value = record.value();
    Map<String, Integer> ofJob = bytesByKey.computeIfAbsent(jobId, any -> new HashMap<>());
    Integer previousLength = value == null ? ofJob.remove(record.key()) : null;
    if (value != null) {
      previousLength = ofJob.put(record.key(), value.length);
      bytes += value.length;
    }
    bytes -= previousLength == null ? 0 : previousLength;
    if (ofJob.isEmpty()) {
      bytesByKey.remove(jobId);
    }
  }

  private void applyPart(JobRecords.Key key, byte[] value) {
    String jobId = key.jobId();
    if (jobs.containsKey(jobId)) {
      // A job is accepted only once, so the first version stays. The new value is decoded all the
      // same, so that an unreadable one is reported and restored.
      JobRecords.Part part = JobRecords.part(value);
      if (part.count() == 1) {
        JobRecords.decode(jobId, part.bytes(), part.anonymous());
      }
      return;
    }
    try {
      JobRecords.Part part = JobRecords.part(value);
      if (key.number() >= part.count()) {
        throw new UnreadableException("part", "number is beyond the last part");
      }
      TreeMap<Integer, JobRecords.Part> known =
          parts.computeIfAbsent(jobId, any -> new TreeMap<>());
      known.tailMap(part.count(), true).clear();
      known.put(key.number(), part);
      if (known.size() == part.count()) {
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        known.values().forEach(each -> whole.writeBytes(each.bytes()));
        boolean anonymous = known.values().stream().allMatch(JobRecords.Part::anonymous);
        add(JobRecords.decode(jobId, whole.toByteArray(), anonymous));
        // Parts that do not decode to a job are kept. When the job is written again, its parts
        // replace them one by one.
        parts.remove(jobId);
        damaged.remove(jobId);
      }
    } catch (UnreadableException e) {
      damaged.add(jobId);
      throw e;
    }
  }

  private void add(Job job) {
    jobs.put(job.id(), job);
    TreeMap<Integer, JobResult> earlier = resultsBeforeJob.remove(job.id());
    if (earlier != null) {
      earlier.forEach((position, result) -> put(job, position, result));
    }
    if (ended.contains(job.id())) {
      job.end();
    }
  }

  private void applyResult(JobRecords.Key key, JobResult result) {
    Job job = jobs.get(key.jobId());
    if (job != null) {
      put(job, key.number(), result);
    } else {
      resultsBeforeJob
          .computeIfAbsent(key.jobId(), any -> new TreeMap<>())
          .putIfAbsent(key.number(), result);
    }
  }

  private void put(Job job, int position, JobResult result) {
    Optional<JobResult> known = job.result(position);
    if (known.isPresent() && !known.get().equals(result)) {
      // The first result stays: here, and in the log once this process has written it again.
      destroyed.add(JobRecords.resultKey(job.id(), position));
    }
    if (job.accepts(position, result)) {
      job.put(position, result);
    } else {
      unreadable.accept(
          JobRecords.resultKey(job.id(), position),
          new UnreadableException(
              "result", "item is not part of the job, or position is beyond its last item"));
    }
  }

  /** Removes a job that the log no longer contains. */
  void drop(String jobId) {
    jobs.remove(jobId);
    parts.remove(jobId);
    resultsBeforeJob.remove(jobId);
    Map<String, Integer> removed = bytesByKey.remove(jobId);
    if (removed != null) {
      bytes -= removed.values().stream().mapToInt(Integer::intValue).sum();
    }
    ended.remove(jobId);
    damaged.remove(jobId);
  }

  private void drop(JobRecords.Key key) {
    if (key.part()) {
      drop(key.jobId());
    } else if (key.end()) {
      ended.remove(key.jobId());
    } else if (key.progress()) {
      find(key.jobId()).ifPresent(job -> job.dropProgress(key.itemId(), key.start()));
    }
  }
}
