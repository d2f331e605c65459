package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import java.io.ByteArrayOutputStream;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

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
  private final Map<String, Map<String, Integer>> bytesByKey = new HashMap<>();
  private long bytes;

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

  void take(KeyedRecord record) {
    JobRecords.Key key = JobRecords.key(record.key());
    byte[] value = record.value();
    count(key.jobId(), record);
    if (value == null) {
      drop(key);
    } else if (key.part()) {
      takePart(key, JobRecords.part(value));
    } else if (key.result()) {
      takeResult(key, JobRecords.result(value));
    } else if (key.progress()) {
      JobRecords.Gained gained = JobRecords.gained(value);
      find(key.jobId()).ifPresent(job -> job.gain(gained));
    } else if (key.offer()) {
      find(key.jobId()).ifPresent(job -> job.offer(JobRecords.result(value)));
    } else if (key.failures()) {
      JobRecords.Failures failures = JobRecords.failures(value);
      find(key.jobId()).ifPresent(job -> job.fail(failures));
    } else if (key.end()) {
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

  private void takePart(JobRecords.Key key, JobRecords.Part part) {
    if (jobs.containsKey(key.jobId())) {
      return;
    }
    TreeMap<Integer, byte[]> known = parts.computeIfAbsent(key.jobId(), any -> new TreeMap<>());
    known.put(key.number(), part.bytes());
    if (known.size() == part.count()) {
      ByteArrayOutputStream whole = new ByteArrayOutputStream();
      known.values().forEach(whole::writeBytes);
      parts.remove(key.jobId());
      add(JobRecords.decode(key.jobId(), whole.toByteArray()));
    }
  }

  private void add(Job job) {
    jobs.put(job.id(), job);
    TreeMap<Integer, JobResult> waiting = early.remove(job.id());
    if (waiting != null) {
      waiting.forEach(job::put);
    }
    if (ended.contains(job.id())) {
      job.end();
    }
  }

  private void takeResult(JobRecords.Key key, JobResult result) {
    Job job = jobs.get(key.jobId());
    if (job != null) {
      job.put(key.number(), result);
    } else {
      early.computeIfAbsent(key.jobId(), any -> new TreeMap<>()).putIfAbsent(key.number(), result);
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
  }

  private void drop(JobRecords.Key key) {
    if (key.part()) {
      drop(key.jobId());
    } else if (key.end()) {
      ended.remove(key.jobId());
    }
  }
}
