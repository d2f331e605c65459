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
 * <p>Taking a record twice, or records of different keys in another order, gives the same jobs: a
 * page of newest records may hold what a read gives once more, and comes in the order of keys.
 */
final class JobTable {

  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Map<String, TreeMap<Integer, byte[]>> parts = new HashMap<>();
  private final Map<String, TreeMap<Integer, JobResult>> early = new HashMap<>();
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

  /** Returns the ids of all jobs of which it holds records, as of now. */
  Set<String> jobIds() {
    return Set.copyOf(bytesByKey.keySet());
  }

  /** Returns the keys of all records of a job. */
  Set<String> keys(String jobId) {
    return bytesByKey.getOrDefault(jobId, Map.of()).keySet();
  }

  /** Returns the bytes of the newest records of all keys, as far as they were read. */
  long bytes() {
    return bytes;
  }

  /**
   * Calls a listener for each record that cannot be read.
   *
   * @param listener takes the key of the record and what is wrong
   */
  void onUnreadable(BiConsumer<String, UnreadableException> listener) {
    unreadable = listener;
  }

  /**
   * Returns whether a job may have been accepted whose records cannot be read. It is not known, but
   * must not be called unknown.
   */
  boolean unsure(String jobId) {
    return !jobs.containsKey(jobId) && (damaged.contains(jobId) || parts.containsKey(jobId));
  }

  /**
   * Takes a record.
   *
   * <p>Failure: another writer leaves a record that cannot be read, or destroys one. It shows as a
   * partition none of whose jobs can be read any more. Guard: such a record is told and passed
   * over; what is known of its job stays.
   */
  void take(KeyedRecord record) {
    JobRecords.Key key;
    try {
      key = JobRecords.key(record.key());
    } catch (UnreadableException e) {
      unreadable.accept(record.key(), e);
      return;
    }
    destroyed.remove(record.key());
    count(key.jobId(), record);
    try {
      fold(key, record.value());
    } catch (UnreadableException e) {
      unreadable.accept(record.key(), e);
      destroyed.add(record.key());
    }
  }

  /**
   * Returns the records of jobs that this process knows and whose newest ones in the log another
   * writer has destroyed: whoever loads the log next knows nothing of what they held. Records that
   * belong together are in one list; a key that this process never writes is left alone.
   */
  List<List<KeyedRecord>> restorations() {
    Map<String, List<KeyedRecord>> lists = new LinkedHashMap<>();
    for (String text : destroyed) {
      List<KeyedRecord> known = known(JobRecords.key(text));
      if (known.stream().anyMatch(record -> record.key().equals(text))) {
        lists.put(known.get(0).key(), known);
      }
    }
    return List.copyOf(lists.values());
  }

  /** Returns the record that this process would write under a key, with its job's other parts. */
  private List<KeyedRecord> known(JobRecords.Key key) {
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
      takePart(key, value);
    } else if (key.result()) {
      takeResult(key, JobRecords.result(value));
    } else if (key.progress()) {
      JobRecords.Gained gained = JobRecords.gained(value);
      JobRecords.checkStart(key, gained);
      find(key.jobId()).ifPresent(job -> job.gain(gained));
    } else if (key.offer()) {
      JobResult offered = JobRecords.result(value);
      JobRecords.checkItem(key, offered.itemId());
      find(key.jobId()).ifPresent(job -> job.offer(offered));
    } else if (key.failures()) {
      JobRecords.Failures failures = JobRecords.failures(value);
      JobRecords.checkItem(key, failures.itemId());
      find(key.jobId()).ifPresent(job -> job.fail(failures));
    } else if (key.end()) {
      JobRecords.checkEnd(value);
      ended.add(key.jobId());
      find(key.jobId()).ifPresent(Job::end);
    }
  }

  private void count(String jobId, KeyedRecord record) {
    byte[] value = record.value();
    Map<String, Integer> ofJob = bytesByKey.computeIfAbsent(jobId, any -> new HashMap<>());
    Integer former = value == null ? ofJob.remove(record.key()) : null;
    if (value != null) {
      former = ofJob.put(record.key(), value.length);
      bytes += value.length;
    }
    bytes -= former == null ? 0 : former;
    if (ofJob.isEmpty()) {
      bytesByKey.remove(jobId);
    }
  }

  private void takePart(JobRecords.Key key, byte[] value) {
    String jobId = key.jobId();
    if (jobs.containsKey(jobId)) {
      // Accepted once; but what stands there now is told if the next reader cannot read it.
      JobRecords.Part part = JobRecords.part(value);
      if (part.count() == 1) {
        JobRecords.decode(jobId, part.bytes());
      }
      return;
    }
    try {
      JobRecords.Part part = JobRecords.part(value);
      if (key.number() >= part.count()) {
        throw new UnreadableException("part", "beyond the last one");
      }
      TreeMap<Integer, byte[]> known = parts.computeIfAbsent(jobId, any -> new TreeMap<>());
      known.tailMap(part.count(), true).clear();
      known.put(key.number(), part.bytes());
      if (known.size() == part.count()) {
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        known.values().forEach(whole::writeBytes);
        add(JobRecords.decode(jobId, whole.toByteArray()));
        // Parts that make no job stay: when it is written anew, they are replaced one by one.
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
    TreeMap<Integer, JobResult> waiting = early.remove(job.id());
    if (waiting != null) {
      waiting.forEach((position, result) -> put(job, position, result));
    }
    if (ended.contains(job.id())) {
      job.end();
    }
  }

  private void takeResult(JobRecords.Key key, JobResult result) {
    Job job = jobs.get(key.jobId());
    if (job != null) {
      put(job, key.number(), result);
    } else {
      early.computeIfAbsent(key.jobId(), any -> new TreeMap<>()).putIfAbsent(key.number(), result);
    }
  }

  private void put(Job job, int position, JobResult result) {
    Optional<JobResult> known = job.result(position);
    if (known.isPresent() && !known.get().equals(result)) {
      // The first one stays, here and, once it is written again, in the log.
      destroyed.add(JobRecords.resultKey(job.id(), position));
    }
    if (job.has(position, result)) {
      job.put(position, result);
    } else {
      unreadable.accept(
          JobRecords.resultKey(job.id(), position),
          new UnreadableException("result", "of no item of its job, or beyond the last"));
    }
  }

  /** Forgets a job that the log no longer holds. */
  void drop(String jobId) {
    jobs.remove(jobId);
    parts.remove(jobId);
    early.remove(jobId);
    Map<String, Integer> gone = bytesByKey.remove(jobId);
    if (gone != null) {
      bytes -= gone.values().stream().mapToInt(Integer::intValue).sum();
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
      find(key.jobId()).ifPresent(job -> job.forget(key.itemId(), key.start()));
    }
  }
}
