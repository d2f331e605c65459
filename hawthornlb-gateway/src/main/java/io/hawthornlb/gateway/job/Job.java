package io.hawthornlb.gateway.job;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** A job as the log tells it: accepted once, results at fixed positions, perhaps ended. */
public final class Job {

  private final String id;
  private final String host;
  private final Instant accepted;
  private final List<JobItem> items;
  private final Map<String, JobItem> itemsById = new HashMap<>();
  private final TreeMap<Integer, JobResult> results = new TreeMap<>();
  private final Set<String> listed = new HashSet<>();
  private final Map<String, ProgressChain> progress = new HashMap<>();
  private final Map<String, Integer> failures = new HashMap<>();
  private final Map<String, JobResult> offers = new HashMap<>();
  private boolean ended;

  /** Creates a job without results. */
  Job(String id, String host, Instant accepted, List<JobItem> items) {
    this.id = id;
    this.host = host;
    this.accepted = accepted;
    this.items = List.copyOf(items);
    this.items.forEach(item -> itemsById.put(item.id(), item));
  }

  /** Returns the id. */
  public String id() {
    return id;
  }

  /** Returns the host whose route the job came by. */
  public String host() {
    return host;
  }

  /** Returns when it was accepted. */
  public Instant accepted() {
    return accepted;
  }

  /** Returns all items. */
  public List<JobItem> items() {
    return items;
  }

  /** Returns whether its caller ended it. */
  public boolean ended() {
    return ended;
  }

  /** Returns the number of results that stand without a gap from position 0. */
  public int resultCount() {
    int count = results.size();
    return count == 0 || results.lastKey() == count - 1 ? count : contiguous();
  }

  /** Returns whether each item has a result. */
  public boolean complete() {
    return listed.size() >= items.size();
  }

  /** Returns whether an item has a result. */
  public boolean listed(String itemId) {
    return listed.contains(itemId);
  }

  /** Returns an item. */
  public Optional<JobItem> item(String itemId) {
    return Optional.ofNullable(itemsById.get(itemId));
  }

  /** Returns the result at a position. */
  Optional<JobResult> result(int position) {
    return Optional.ofNullable(results.get(position));
  }

  /** Returns the first position from one on at which no result stands. */
  int freePosition(int from) {
    int position = from;
    while (results.containsKey(position)) {
      position++;
    }
    return position;
  }

  /** Returns results from a position on, up to a number of bytes but at least one. */
  public List<JobResult> page(int after, int maxBytes) {
    List<JobResult> page = new ArrayList<>();
    int bytes = 0;
    int count = resultCount();
    for (int position = Math.max(0, after); position < count; position++) {
      JobResult result = results.get(position);
      bytes += result.text().length();
      if (!page.isEmpty() && bytes > maxBytes) {
        break;
      }
      page.add(result);
    }
    return page;
  }

  /** Returns what is kept of an item that is not done. */
  ItemProgress progress(String itemId) {
    ProgressChain chain = progress.get(itemId);
    return chain == null ? ItemProgress.NONE : chain.progress();
  }

  /** Returns how many runs of an item endpoints have ended with a failure of their own. */
  int failures(String itemId) {
    return failures.getOrDefault(itemId, 0);
  }

  /** Returns the result of an item that a former holder could not list. */
  Optional<JobResult> offered(String itemId) {
    return Optional.ofNullable(offers.get(itemId));
  }

  /** Takes a result of a former holder; passes over one of an item that has its result. */
  void offer(JobResult result) {
    if (!listed.contains(result.itemId())) {
      offers.putIfAbsent(result.itemId(), result);
    }
  }

  /** Takes a number of failed runs; the highest one counts. */
  void fail(JobRecords.Failures failed) {
    failures.merge(failed.itemId(), failed.count(), Math::max);
  }

  /** Takes a record of what an item has gained; passes over one of an item with its result. */
  void gain(JobRecords.Gained gained) {
    if (!listed.contains(gained.itemId())) {
      progress.computeIfAbsent(gained.itemId(), any -> new ProgressChain()).put(gained);
    }
  }

  /** Forgets the record of what an item has gained that begins at a place. */
  void forget(String itemId, ProgressLink start) {
    ProgressChain chain = progress.get(itemId);
    if (chain != null) {
      chain.drop(start);
    }
  }

  /**
   * Takes a result; the first one at a position, and the first one of an item, stays. One of an
   * item that the job lacks, or beyond its last item, is passed over.
   */
  void put(int position, JobResult result) {
    if (!has(position, result)) {
      return;
    }
    if (!results.containsKey(position) && listed.add(result.itemId())) {
      results.put(position, result);
      progress.remove(result.itemId());
      offers.remove(result.itemId());
    }
  }

  /** Returns whether a result can be one of this job at a position. */
  boolean has(int position, JobResult result) {
    return position < items.size() && itemsById.containsKey(result.itemId());
  }

  void end() {
    ended = true;
  }

  private int contiguous() {
    return freePosition(0);
  }
}
