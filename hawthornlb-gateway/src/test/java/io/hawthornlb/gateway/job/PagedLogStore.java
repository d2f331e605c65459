package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.store.StoreException;
import io.hawthornlb.gateway.store.support.InMemoryLogStore;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import org.jspecify.annotations.Nullable;

/**
 * Log in memory with small pages, which can delay its lists of newest records and can lose its
 * history.
 */
final class PagedLogStore extends InMemoryLogStore {

  private final int pageRecords;
  private final List<Runnable> delayed = new ArrayList<>();
  private boolean delaying;
  private boolean historyLost;
  private int listKeys = Integer.MAX_VALUE;
  private int listPagesLeft = Integer.MAX_VALUE;
  private long listedBytes;

  PagedLogStore(ScheduledExecutorService executor, int partitions, int pageRecords) {
    super(executor, partitions);
    this.pageRecords = pageRecords;
  }

  /** Sets the number of keys in a page of newest records. */
  void pageKeys(int keys) {
    listKeys = keys;
  }

  /** Makes calls for newest records fail after a number of further pages. */
  void failListsAfter(int pages) {
    listPagesLeft = pages;
  }

  /** Returns the total bytes of the records in all lists so far. */
  long listedBytes() {
    return listedBytes;
  }

  /** Delays the pages of the next lists until {@link #releaseLists()}. */
  void holdLists() {
    delaying = true;
  }

  /** Delivers the delayed pages. */
  void releaseLists() {
    delaying = false;
    List.copyOf(delayed).forEach(Runnable::run);
    delayed.clear();
  }

  /** Makes the next read report that its records have been trimmed. */
  void loseHistoryOnce() {
    historyLost = true;
  }

  @Override
  public CompletionStage<LogPage> read(String topic, int partition, long from, Duration wait) {
    if (historyLost) {
      historyLost = false;
      return CompletableFuture.completedFuture(new LogPage(List.of(), from, true, true));
    }
    return super.read(topic, partition, from, wait).thenApply(page -> shortened(page, from));
  }

  private LogPage shortened(LogPage page, long from) {
    if (page.records().size() <= pageRecords) {
      return page;
    }
    List<KeyedRecord> first = page.records().subList(0, pageRecords);
    return new LogPage(List.copyOf(first), from + pageRecords, true, false);
  }

  private KeyedPage shortened(KeyedPage page) {
    boolean cut = page.records().size() > listKeys;
    List<KeyedRecord> records = cut ? page.records().subList(0, listKeys) : page.records();
    records.forEach(record -> listedBytes += record.value() == null ? 0 : record.value().length);
    return new KeyedPage(List.copyOf(records), cut || page.more(), page.end());
  }

  @Override
  public CompletionStage<KeyedPage> newest(String topic, int partition, @Nullable String after) {
    if (listPagesLeft == 0) {
      return CompletableFuture.failedFuture(
          new StoreException(StoreException.Kind.UNKNOWN, "page did not arrive in time"));
    }
    listPagesLeft--;
    CompletionStage<KeyedPage> found =
        super.newest(topic, partition, after).thenApply(this::shortened);
    if (!delaying) {
      return found;
    }
    CompletableFuture<KeyedPage> later = new CompletableFuture<>();
    delayed.add(() -> found.thenAccept(later::complete));
    return later;
  }
}
