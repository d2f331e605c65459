package io.hawthornlb.core.job.support;

import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.effect.SendPeerMessage;
import io.hawthornlb.core.job.ItemDispatch;
import io.hawthornlb.core.job.ItemKey;
import io.hawthornlb.core.job.ItemsDispatched;
import io.hawthornlb.core.job.ItemsStarted;
import io.hawthornlb.core.job.PullItems;
import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.partition.RecordIdSource;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Sends items to stewards; those that may not be executed twice only after the log says that they
 * are started.
 *
 * <p>Otherwise a holder that dies after it has sent an item leaves a successor that can't know, and
 * would send it again.
 */
final class StartingItems {

  private final PartitionId partition;
  private final JobFold fold;
  private final ItemScheduler scheduler;
  private final RecordIdSource ids;
  private final List<Batch> waiting = new ArrayList<>();

  StartingItems(PartitionId partition, JobFold fold, ItemScheduler scheduler, RecordIdSource ids) {
    this.partition = partition;
    this.fold = fold;
    this.scheduler = scheduler;
    this.ids = ids;
  }

  void clear() {
    waiting.clear();
  }

  void send(PullItems question, List<ItemDispatch> items, Epoch epoch, List<Effect> out) {
    Map<Boolean, List<ItemDispatch>> parts =
        items.stream().collect(Collectors.partitioningBy(ItemDispatch::atMostOnce));
    dispatch(question, parts.get(false), out);
    Map<JobId, List<ItemDispatch>> byJob =
        parts.get(true).stream().collect(Collectors.groupingBy(ItemDispatch::job));
    byJob.forEach(
        (job, own) -> {
          List<Integer> indexes = own.stream().map(item -> item.location().index()).toList();
          out.add(
              new AppendRecord(
                  StreamName.ofPartition(partition),
                  ids.next(),
                  new ItemsStarted(epoch, job, indexes)));
          waiting.add(new Batch(question, own));
        });
  }

  /** Sends what the log has confirmed since. */
  void advance(Instant now, List<Effect> out) {
    waiting.removeIf(
        batch -> {
          JobState state = fold.state(batch.items().get(0).job());
          if (state == null || !state.running()) {
            return true;
          }
          boolean started =
              batch.items().stream().allMatch(item -> state.started(item.location().index()));
          if (started) {
            sendStarted(batch, now, out);
          }
          return started;
        });
  }

  /** Takes back what a lost steward was to get. */
  void lost(InstanceId steward) {
    waiting.removeIf(
        batch -> {
          boolean own = batch.question().steward().equals(steward);
          if (own) {
            batch.items().forEach(item -> scheduler.takeBack(key(item)));
          }
          return own;
        });
  }

  private void sendStarted(Batch batch, Instant now, List<Effect> out) {
    InstanceId steward = batch.question().steward();
    // A job that was stopped in between has no item with a steward any more.
    List<ItemDispatch> items =
        batch.items().stream().filter(item -> scheduler.assigned(key(item), steward)).toList();
    items.forEach(item -> scheduler.sent(key(item), steward, now));
    dispatch(batch.question(), items, out);
  }

  private static ItemKey key(ItemDispatch item) {
    return new ItemKey(item.job(), item.location().index());
  }

  private void dispatch(PullItems question, List<ItemDispatch> items, List<Effect> out) {
    if (!items.isEmpty()) {
      ItemsDispatched message = new ItemsDispatched(partition, question.service(), items);
      out.add(new SendPeerMessage(question.steward(), message));
    }
  }

  private record Batch(PullItems question, List<ItemDispatch> items) {}
}
