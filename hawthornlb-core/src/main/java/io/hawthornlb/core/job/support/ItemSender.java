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
 * Sends assigned items to dispatchers. Items that must not be executed twice are sent only after
 * the log contains the record that they are started.
 *
 * <p>Without that record, the successor of a holder that died after it had sent an item could not
 * know that the item was sent, and would send the item again.
 */
final class ItemSender {

  private final PartitionId partition;
  private final JobFold fold;
  private final ItemScheduler scheduler;
  private final RecordIdSource ids;
  private final ResentAppends appends;
  private final List<Batch> awaitingStart = new ArrayList<>();

  ItemSender(
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
    awaitingStart.clear();
  }

  void send(
      PullJobItems request, List<ItemDispatch> items, Epoch epoch, Instant now, List<Effect> out) {
    Map<Boolean, List<ItemDispatch>> parts =
        items.stream().collect(Collectors.partitioningBy(ItemDispatch::atMostOnce));
    if (items.isEmpty() || !parts.get(false).isEmpty()) {
      dispatch(request, parts.get(false), out);
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
          awaitingStart.add(new Batch(request, own));
        });
  }

  /** Answers a pull with an empty list of items. */
  void sendNone(PullJobItems request, List<Effect> out) {
    dispatch(request, List.of(), out);
  }

  /** Sends the items whose start the log has confirmed since the last call. */
  void advance(Instant now, List<Effect> out) {
    awaitingStart.removeIf(
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

  /** Releases the items that are waiting to be sent to a lost dispatcher. */
  void dispatcherLost(InstanceId dispatcher) {
    awaitingStart.removeIf(
        batch -> {
          boolean own = batch.request().steward().equals(dispatcher);
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
    InstanceId dispatcher = batch.request().steward();
    // If the job was stopped in the meantime, its items are no longer assigned to the dispatcher.
    List<ItemDispatch> items =
        batch.items().stream().filter(item -> scheduler.assigned(key(item), dispatcher)).toList();
    items.forEach(item -> scheduler.sent(key(item), dispatcher, now));
    if (!items.isEmpty()) {
      dispatch(batch.request(), items, out);
    }
  }

  private static ItemKey key(ItemDispatch item) {
    return new ItemKey(item.job(), item.location().index());
  }

  private void dispatch(PullJobItems request, List<ItemDispatch> items, List<Effect> out) {
    ItemsDispatched message =
        new ItemsDispatched(partition, request.endpoint(), request.service(), items);
    out.add(new SendPeerMessage(request.steward(), message));
  }

  private record Batch(PullJobItems request, List<ItemDispatch> items) {}
}
