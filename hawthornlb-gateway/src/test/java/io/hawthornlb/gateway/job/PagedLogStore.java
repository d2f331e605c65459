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

/** Log in memory whose pages are small, whose lists can be held back, and that can forget. */
final class PagedLogStore extends InMemoryLogStore {

  private final int pageRecords;
  private final List<Runnable> held = new ArrayList<>();
  private boolean holding;
  private boolean forgetful;
  private int listKeys = Integer.MAX_VALUE;
  private int listsLeft = Integer.MAX_VALUE;
  private long listedBytes;

  PagedLogStore(ScheduledExecutorService executor, int partitions, int pageRecords) {
    super(executor, partitions);
    this.pageRecords = pageRecords;
  }

  /** Sets how many keys a page of newest records holds. */
  void pageKeys(int keys) {
    listKeys = keys;
  }

  /** Lets pages of newest records fail after some more. */
  void failListsAfter(int pages) {
    listsLeft = pages;
  }

  /** Returns the bytes of all records that lists have held. */
  long listedBytes() {
    return listedBytes;
  }

  /** Keeps what the next lists found until {@link #letGo()}. */
  void holdLists() {
    holding = true;
  }

  /** Hands out the lists that were held back. */
  void letGo() {
    holding = false;
    List.copyOf(held).forEach(Runnable::run);
    held.clear();
  }

  /** Lets the next read find that its records are gone. */
  void forgetOnce() {
    forgetful = true;
  }

  @Override
  public CompletionStage<LogPage> read(String topic, int partition, long from, Duration wait) {
    if (forgetful) {
      forgetful = false;
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
    if (listsLeft == 0) {
      return CompletableFuture.failedFuture(
          new StoreException(StoreException.Kind.UNKNOWN, "no whole page in time"));
    }
    listsLeft--;
    CompletionStage<KeyedPage> found =
        super.newest(topic, partition, after).thenApply(this::shortened);
    if (!holding) {
      return found;
    }
    CompletableFuture<KeyedPage> later = new CompletableFuture<>();
    held.add(() -> found.thenAccept(later::complete));
    return later;
  }
}
