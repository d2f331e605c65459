package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The runs of one partition's items. Items of different jobs may have the same id. */
final class ItemRuns {

  private final Map<String, ItemRun> runs = new HashMap<>();

  /** Returns the key of an item's run. */
  static String key(String jobId, String itemId) {
    return jobId + "/" + itemId;
  }

  /** Adds a run; returns its key. */
  String add(ItemRun run) {
    String key = key(run.job().id(), run.item().id());
    runs.put(key, run);
    return key;
  }

  /** Returns whether an item has a run. */
  boolean contains(Job job, JobItem item) {
    return runs.containsKey(key(job.id(), item.id()));
  }

  /** Returns the keys of all runs. */
  Set<String> keys() {
    return runs.keySet();
  }

  /** Returns a snapshot of all runs by their keys. */
  Map<String, ItemRun> copy() {
    return Map.copyOf(runs);
  }

  /** Removes the run of an item that has its result. */
  void remove(String jobId, String itemId) {
    runs.remove(key(jobId, itemId));
  }

  /** Stops the run of an item; returns whether it had one. */
  boolean stop(Job job, JobItem item) {
    ItemRun run = runs.remove(key(job.id(), item.id()));
    if (run != null) {
      run.stop();
    }
    return run != null;
  }

  /** Stops the runs of a job; returns how many it had. */
  long stopJob(Job job) {
    return job.items().stream().filter(item -> stop(job, item)).count();
  }

  /** Stops the runs whose jobs a table does not have. */
  void stopWithoutJob(JobTable table) {
    for (ItemRun run : List.copyOf(runs.values())) {
      if (table.find(run.job().id()).isEmpty()) {
        stop(run.job(), run.item());
      }
    }
  }

  /** Stops all runs. */
  void stopAll() {
    runs.values().forEach(ItemRun::stop);
    runs.clear();
  }

  /**
   * Returns records of the progress since the last call, as many as fit one append.
   *
   * @param minEvents number of new events from which on an item's progress is worth a record
   */
  List<KeyedRecord> progressRecords(int minEvents) {
    List<KeyedRecord> records = new ArrayList<>();
    AppendSize size = new AppendSize();
    for (ItemRun run : runs.values()) {
      Optional<KeyedRecord> record =
          run.newProgress(minEvents).map(added -> JobRecords.progress(run.job().id(), added));
      record.ifPresent(records::add);
      if (!size.add(record.stream().toList())) {
        break;
      }
    }
    return records;
  }
}
