package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Assigns positions to the results that one append lists. */
final class ResultListing {

  private final JobTable table;
  private final Map<String, Integer> next = new HashMap<>();

  /**
   * Creates a listing without results.
   *
   * @param table the jobs as they are before the append
   */
  ResultListing(JobTable table) {
    this.table = table;
  }

  /** Returns the records that list a result after the other results of its job. */
  List<KeyedRecord> add(Job job, JobResult result) {
    // A result after a gap that another writer made keeps its position, so the search skips taken
    // positions.
    int position = job.freePosition(next.getOrDefault(job.id(), job.resultCount()));
    next.put(job.id(), position + 1);
    List<KeyedRecord> records = new ArrayList<>();
    records.add(JobRecords.result(job.id(), position, result));
    records.addAll(deletionsAfterResult(job.id(), result.itemId()));
    return records;
  }

  /**
   * Returns deletions of the progress records and the offered result of an item that has its
   * result.
   *
   * <p>An item has several progress records, up to its last event. If they stayed, they would
   * double the bytes that a process has to load when it takes the partition over.
   */
  private List<KeyedRecord> deletionsAfterResult(String jobId, String itemId) {
    return table.keys(jobId).stream()
        .filter(key -> JobRecords.neededUntilResult(key, itemId))
        .map(key -> new KeyedRecord(key, null))
        .toList();
  }
}
