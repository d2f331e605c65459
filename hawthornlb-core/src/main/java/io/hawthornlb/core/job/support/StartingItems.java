package io.hawthornlb.core.job.support;

import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.effect.SendPeerMessage;
import io.hawthornlb.core.job.ItemDispatch;
import io.hawthornlb.core.job.ItemKey;
import io.hawthornlb.core.job.ItemsDispatched;
import io.hawthornlb.core.job.ItemsStarted;
import io.hawthornlb.core.job.PullJobItems;
import io.hawthornlb.core.log.RecordIdSource;
import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.partition.support.ResentAppends;
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
  private final ResentAppends appends;
  private final List<Batch> waiting = new ArrayList<>();

  StartingItems(
      PartitionId partition,
      JobFold fold,
      ItemScheduler scheduler,
      RecordIdSource ids,
      ResentAppends appends) {
    this.partition = partition;
    this.fold = fold;
    this.scheduler = scheduler;
    this.ids = ids;
    this.appends = appends;
  }

  void clear() {
    waiting.clear();
  }

  void send(
      PullJobItems question, List<ItemDispatch> items, Epoch epoch, Instant now, List<Effect> out) {
    Map<Boolean, List<ItemDispatch>> parts =
        items.stream().collect(Collectors.partitioningBy(ItemDispatch::atMostOnce));
    if (items.isEmpty() || !parts.get(false).isEmpty()) {
      dispatch(question, parts.get(false), out);
    }
    Map<JobId, List<ItemDispatch>> byJob =
        parts.get(true).stream().collect(Collectors.groupingBy(ItemDispatch::job));
    byJob.forEach(
        (job, own) -> {
          List<Integer> indexes = own.stream().map(item -> item.location().index()).toList();
          AppendRecord effect =
              new AppendRecord(
                  StreamName.ofPartition(partition),
                  ids.next(),
                  new ItemsStarted(epoch, job, indexes));
          appends.add(effect, () -> settled(job, indexes), now, out);
          waiting.add(new Batch(question, own));
        });
  }

  /** Answers that there is nothing here. */
  void sendNone(PullJobItems question, List<Effect> out) {
    dispatch(question, List.of(), out);
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

  private boolean settled(JobId job, List<Integer> indexes) {
    JobState state = fold.state(job);
    return state == null || !state.running() || indexes.stream().allMatch(state::started);
  }

  private void sendStarted(Batch batch, Instant now, List<Effect> out) {
    InstanceId steward = batch.question().steward();
    // A job that was stopped in between has no item with a steward any more.
    List<ItemDispatch> items =
        batch.items().stream().filter(item -> scheduler.assigned(key(item), steward)).toList();
    items.forEach(item -> scheduler.sent(key(item), steward, now));
    if (!items.isEmpty()) {
      dispatch(batch.question(), items, out);
    }
  }

  private static ItemKey key(ItemDispatch item) {
    return new ItemKey(item.job(), item.location().index());
  }

  private void dispatch(PullJobItems question, List<ItemDispatch> items, List<Effect> out) {
    ItemsDispatched message =
        new ItemsDispatched(partition, question.endpoint(), question.service(), items);
    out.add(new SendPeerMessage(question.steward(), message));
  }

  private record Batch(PullJobItems question, List<ItemDispatch> items) {}
}
