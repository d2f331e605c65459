package io.hawthornlb.gateway.store.support;

import io.hawthornlb.gateway.store.LogStore;
import io.hawthornlb.gateway.store.StoreException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * In-memory log store of one process, for trials and tests. Implements the contract of {@link
 * LogStore}.
 *
 * <p>A member that joins or leaves a group changes the group's generation; members do not expire. A
 * test can make waiting reads silent, cut them, and delete a partition's history, as may happen to
 * a platform's log.
 */
public class InMemoryLogStore implements LogStore {

  private static final int PAGE_KEYS = 500;

  private final ScheduledExecutorService executor;
  private final int partitions;
  private final Map<String, Partition> topics = new HashMap<>();
  private final Map<String, Group> groups = new HashMap<>();
  private boolean silent;

  /** Creates an empty log. Waiting reads complete on the executor. */
  public InMemoryLogStore(ScheduledExecutorService executor, int partitions) {
    this.executor = executor;
    this.partitions = partitions;
  }

  @Override
  public synchronized CompletionStage<Appended> append(AppendCall call) {
    Partition partition = partition(call.topic(), call.partition());
    long end = partition.records.size();
    if (call.at().orElse(end) != end) {
      return CompletableFuture.failedFuture(
          new StoreException(StoreException.Kind.NOT_AT_END, "The partition ends at " + end));
    }
    FencedWriter writer = call.writer();
    if (writer != null) {
      @Nullable Appended repeated;
      try {
        repeated = partition.admit(writer, call.records().isEmpty());
      } catch (StoreException e) {
        return CompletableFuture.failedFuture(e);
      }
      if (repeated != null) {
        return CompletableFuture.completedFuture(repeated);
      }
    }
    partition.records.addAll(call.records());
    Appended appended = new Appended(end, partition.records.size());
    if (writer != null && !call.records().isEmpty()) {
      partition.results.put(writer, appended);
    }
    if (!silent) {
      partition.wake();
    }
    return CompletableFuture.completedFuture(appended);
  }

  @Override
  public synchronized CompletionStage<LogPage> read(
      String topic, int partition, long from, Duration wait) {
    Partition log = partition(topic, partition);
    if (from < log.records.size() || from < log.firstKept || wait.isZero()) {
      return CompletableFuture.completedFuture(log.page(from));
    }
    CompletableFuture<Void> woken = new CompletableFuture<>();
    log.waiting.add(woken);
    executor.schedule(() -> onWaitOver(log, woken), wait.toMillis(), TimeUnit.MILLISECONDS);
    return woken.thenApply(any -> pageOf(log, from));
  }

  @Override
  public synchronized CompletionStage<KeyedPage> newest(
      String topic, int partition, @Nullable String after) {
    Partition log = partition(topic, partition);
    TreeMap<String, KeyedRecord> newest = new TreeMap<>();
    for (KeyedRecord record : log.records) {
      if (record.value() == null) {
        newest.remove(record.key());
      } else {
        newest.put(record.key(), record);
      }
    }
    Map<String, KeyedRecord> rest = after == null ? newest : newest.tailMap(after, false);
    List<KeyedRecord> page = rest.values().stream().limit(PAGE_KEYS).toList();
    return CompletableFuture.completedFuture(
        new KeyedPage(page, rest.size() > page.size(), log.records.size()));
  }

  @Override
  public synchronized CompletionStage<GroupShare> join(GroupJoin join) {
    Group group = groups.computeIfAbsent(join.group(), any -> new Group());
    if (group.members.add(join.member())) {
      group.generation++;
    }
    return CompletableFuture.completedFuture(group.share(join.member(), partitions));
  }

  @Override
  public synchronized CompletionStage<Void> leave(String name, String member) {
    Group group = groups.computeIfAbsent(name, any -> new Group());
    if (group.members.remove(member)) {
      group.generation++;
    }
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public synchronized CompletionStage<Map<Integer, String>> owners(String name, String topic) {
    Group group = groups.computeIfAbsent(name, any -> new Group());
    Map<Integer, String> owners = new HashMap<>();
    for (String member : group.members) {
      group
          .share(member, partitions)
          .partitions()
          .forEach(partition -> owners.put(partition, member));
    }
    return CompletableFuture.completedFuture(owners);
  }

  /**
   * Makes waiting reads silent until they are cut: they get no records and do not even end when
   * their wait is over.
   */
  public synchronized void silence() {
    silent = true;
  }

  /** Fails all waiting reads, as if their connections were cut. Later reads are not silent. */
  public synchronized void cutReads() {
    silent = false;
    for (Partition partition : topics.values()) {
      List<CompletableFuture<Void>> cut = List.copyOf(partition.waiting);
      partition.waiting.clear();
      StoreException failure = new StoreException(StoreException.Kind.UNKNOWN, "The read was cut");
      cut.forEach(each -> each.completeExceptionally(failure));
    }
  }

  /** Deletes the history of a partition, except the newest record of each key. */
  public synchronized void forgetHistory(String topic, int partition) {
    Partition log = partition(topic, partition);
    log.firstKept = log.records.size();
  }

  private synchronized void onWaitOver(Partition log, CompletableFuture<Void> read) {
    if (!silent) {
      log.waiting.remove(read);
      read.complete(null);
    }
  }

  private synchronized LogPage pageOf(Partition log, long from) {
    return log.page(from);
  }

  private Partition partition(String topic, int number) {
    return topics.computeIfAbsent(topic + "/" + number, any -> new Partition());
  }

  /** One partition of a topic. */
  private static final class Partition {

    private final List<KeyedRecord> records = new ArrayList<>();
    private final List<CompletableFuture<Void>> waiting = new ArrayList<>();
    private final Map<String, Long> epochs = new HashMap<>();
    private final Map<String, Long> sequences = new HashMap<>();
    private final Map<FencedWriter, Appended> results = new HashMap<>();
    private long firstKept;

    /**
     * Checks an append against the epoch and the sequence number; returns the result of an append
     * that was carried out before, and null for a new one.
     */
    private @Nullable Appended admit(FencedWriter writer, boolean empty) {
      long epoch = epochs.getOrDefault(writer.name(), -1L);
      if (writer.epoch() < epoch) {
        throw new StoreException(StoreException.Kind.FENCED, "A later writer holds the partition");
      }
      if (writer.epoch() > epoch) {
        epochs.put(writer.name(), writer.epoch());
        sequences.remove(writer.name());
      }
      if (results.containsKey(writer)) {
        return results.get(writer);
      }
      if (!empty) {
        Long last = sequences.put(writer.name(), writer.sequence());
        if (last != null && writer.sequence() != last + 1) {
          sequences.put(writer.name(), last);
          throw new StoreException(StoreException.Kind.OUT_OF_SEQUENCE, "Expected " + (last + 1));
        }
      }
      return null;
    }

    private LogPage page(long from) {
      if (from < firstKept) {
        return new LogPage(List.of(), from, true, true);
      }
      int start = (int) Math.min(from, records.size());
      List<KeyedRecord> rest = List.copyOf(records.subList(start, records.size()));
      return new LogPage(rest, records.size(), false, false);
    }

    private void wake() {
      List<CompletableFuture<Void>> woken = List.copyOf(waiting);
      waiting.clear();
      woken.forEach(each -> each.complete(null));
    }
  }

  /** Members that share the partitions. */
  private static final class Group {

    private final TreeSet<String> members = new TreeSet<>();
    private long generation;

    private GroupShare share(String member, int partitions) {
      int rank = members.headSet(Objects.requireNonNull(member)).size();
      List<Integer> held = new ArrayList<>();
      for (int partition = rank; partition < partitions; partition += members.size()) {
        held.add(partition);
      }
      return new GroupShare(generation, held);
    }
  }
}
