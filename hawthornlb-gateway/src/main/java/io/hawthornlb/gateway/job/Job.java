package io.hawthornlb.gateway.job;

import io.hawthornlb.core.model.WorkspaceId;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * A job as recorded in the log.
 *
 * <p>A job is accepted once. An item is listed once it has a result at a fixed position. A caller
 * may end the job.
 */
public final class Job {

  private final String id;
  private final String host;
  private final Instant accepted;
  private final @Nullable WorkspaceId workspace;
  private final boolean former;
  private final List<JobItem> items;
  private final Map<String, JobItem> itemsById = new HashMap<>();
  private final TreeMap<Integer, JobResult> results = new TreeMap<>();
  private final Set<String> listed = new HashSet<>();
  private final Map<String, ProgressChain> progress = new HashMap<>();
  private final Map<String, Integer> failures = new HashMap<>();
  private final Map<String, JobResult> offers = new HashMap<>();
  private boolean ended;

  /** Creates a job of an anonymous caller, without results. */
  Job(String id, String host, Instant accepted, List<JobItem> items) {
    this(id, host, accepted, items, null);
  }

  /**
   * Creates a job without results.
   *
   * @param workspace workspace of the caller; null if the caller was anonymous
   */
  Job(
      String id,
      String host,
      Instant accepted,
      List<JobItem> items,
      @Nullable WorkspaceId workspace) {
    this(id, host, accepted, items, workspace, false);
  }

  private Job(
      String id,
      String host,
      Instant accepted,
      List<JobItem> items,
      @Nullable WorkspaceId workspace,
      boolean former) {
    this.former = former;
    this.id = id;
    this.workspace = workspace;
    this.host = host;
    this.accepted = accepted;
    this.items = List.copyOf(items);
    this.items.forEach(item -> itemsById.put(item.id(), item));
  }

  /** Returns a job that a version without workspaces accepted, without results. */
  static Job ofFormerVersion(String id, String host, Instant accepted, List<JobItem> items) {
    return new Job(id, host, accepted, items, null, true);
  }

  /** Returns the id under which the job is stored. */
  public String id() {
    return id;
  }

  /** Returns the id that the caller chose. */
  public String callerId() {
    return JobScope.callerId(id);
  }

  /** Returns the workspace of the caller; empty if the caller was anonymous. */
  public Optional<WorkspaceId> workspace() {
    return Optional.ofNullable(workspace);
  }

  /**
   * Returns whether a version without workspaces accepted the job, so that its caller is not known.
   */
  boolean fromFormerVersion() {
    return former;
  }

  /** Returns the host of the request that submitted the job; selects the route. */
  public String host() {
    return host;
  }

  /** Returns when the job was accepted, by the clock of the instance that accepted it. */
  public Instant accepted() {
    return accepted;
  }

  /** Returns all items in the order of submission. */
  public List<JobItem> items() {
    return items;
  }

  /** Returns whether the caller has ended the job. */
  public boolean ended() {
    return ended;
  }

  /** Returns the number of results from position 0 up to the first gap. */
  public int resultCount() {
    int count = results.size();
    return count == 0 || results.lastKey() == count - 1 ? count : contiguous();
  }

  /** Returns whether all items have results. */
  public boolean complete() {
    return listed.size() >= items.size();
  }

  /** Returns whether an item is listed, that is, has a result at a position. */
  public boolean listed(String itemId) {
    return listed.contains(itemId);
  }

  public Optional<JobItem> item(String itemId) {
    return Optional.ofNullable(itemsById.get(itemId));
  }

  /** Returns the result at a position; empty if the position is free. */
  Optional<JobResult> result(int position) {
    return Optional.ofNullable(results.get(position));
  }

  /** Returns the first free position at or after a given one. */
  int freePosition(int from) {
    int position = from;
    while (results.containsKey(position)) {
      position++;
    }
    return position;
  }

  /**
   * Returns consecutive results from a position on: as many as fit a number of bytes, but at least
   * one.
   */
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

  /** Returns the recorded progress of an item without a result. */
  ItemProgress progress(String itemId) {
    ProgressChain chain = progress.get(itemId);
    return chain == null ? ItemProgress.NONE : chain.progress();
  }

  /** Returns how many attempts at an item endpoints have ended with status 500. */
  int failures(String itemId) {
    return failures.getOrDefault(itemId, 0);
  }

  /** Returns the offered result of an item: one that a former holder got but could not list. */
  Optional<JobResult> offered(String itemId) {
    return Optional.ofNullable(offers.get(itemId));
  }

  /** Adds an offered result of a former holder; ignored if the item has a result. */
  void addOffer(JobResult result) {
    if (!listed.contains(result.itemId())) {
      offers.putIfAbsent(result.itemId(), result);
    }
  }

  /** Updates the number of failed attempts at an item; the highest number counts. */
  void addFailures(JobRecords.Failures failed) {
    failures.merge(failed.itemId(), failed.count(), Math::max);
  }

  /** Adds a progress record of an item; ignored if the item has a result. */
  void addProgress(JobRecords.Progress added) {
    if (!listed.contains(added.itemId())) {
      progress.computeIfAbsent(added.itemId(), any -> new ProgressChain()).put(added);
    }
  }

  /** Removes the progress record of an item that begins at a point. */
  void dropProgress(String itemId, ProgressLink start) {
    ProgressChain chain = progress.get(itemId);
    if (chain != null) {
      chain.drop(start);
    }
  }

  /**
   * Lists a result at a position. The first result at a position and the first result of an item
   * stay.
   *
   * <p>A result is ignored if its item is not part of the job or if the position is beyond the last
   * item.
   */
  void put(int position, JobResult result) {
    if (!accepts(position, result)) {
      return;
    }
    if (!results.containsKey(position) && listed.add(result.itemId())) {
      results.put(position, result);
      progress.remove(result.itemId());
      offers.remove(result.itemId());
    }
  }

  /** Returns whether a result at a position is possible in this job. */
  boolean accepts(int position, JobResult result) {
    return position < items.size() && itemsById.containsKey(result.itemId());
  }

  void end() {
    ended = true;
  }

  private int contiguous() {
    return freePosition(0);
  }
}
