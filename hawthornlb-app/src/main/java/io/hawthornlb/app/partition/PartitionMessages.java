package io.hawthornlb.app.partition;

import static io.hawthornlb.app.entry.MessageHandlers.oneWay;

import io.hawthornlb.app.entry.EffectSink;
import io.hawthornlb.core.effect.SendPeerMessage;
import io.hawthornlb.core.job.CancelJob;
import io.hawthornlb.core.job.ItemFailed;
import io.hawthornlb.core.job.ItemFinished;
import io.hawthornlb.core.job.ItemKey;
import io.hawthornlb.core.job.ItemsHeld;
import io.hawthornlb.core.job.JobAnswer;
import io.hawthornlb.core.job.JobAnswerKind;
import io.hawthornlb.core.job.JobEvent;
import io.hawthornlb.core.job.JobIds;
import io.hawthornlb.core.job.SubmitJob;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.core.runonce.EntriesStored;
import io.hawthornlb.core.runonce.FenceAndCollect;
import io.hawthornlb.core.runonce.ForgetEntries;
import io.hawthornlb.core.runonce.ForwardRunOnce;
import io.hawthornlb.core.runonce.LateOutcome;
import io.hawthornlb.core.runonce.ReplicaContents;
import io.hawthornlb.core.runonce.ReplicaTable;
import io.hawthornlb.core.runonce.RunOnceAnswered;
import io.hawthornlb.core.runonce.RunOnceEvent;
import io.hawthornlb.core.runonce.StoreEntries;
import io.hawthornlb.net.peer.PeerHandlerRegistry;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Routes messages of peers to the partitions and to the replica table of this instance. */
public final class PartitionMessages {

  private final PartitionHosts hosts;
  private final ReplicaTable replicaTable;
  private final EffectSink effects;
  private final InstantSource clock;
  private final int partitions;

  /** Creates the message handlers. */
  public PartitionMessages(
      PartitionHosts hosts,
      ReplicaTable replicaTable,
      EffectSink effects,
      InstantSource clock,
      int partitions) {
    this.hosts = hosts;
    this.replicaTable = replicaTable;
    this.effects = effects;
    this.clock = clock;
    this.partitions = partitions;
  }

  /** Registers the handlers. */
  public void register(PeerHandlerRegistry.Builder builder) {
    builder
        .register(SubmitJob.class, oneWay(this::submit))
        .register(CancelJob.class, oneWay(this::cancel))
        .register(ItemFinished.class, oneWay(message -> job(message.item().job(), message)))
        .register(ItemFailed.class, oneWay(message -> job(message.item().job(), message)))
        .register(ItemsHeld.class, oneWay(this::onItemsHeld))
        .register(ForwardRunOnce.class, oneWay(this::forward))
        .register(EntriesStored.class, oneWay(message -> runOnce(message.partition(), message)))
        .register(ReplicaContents.class, oneWay(message -> runOnce(message.partition(), message)))
        .register(LateOutcome.class, oneWay(message -> runOnce(message.partition(), message)))
        .register(StoreEntries.class, oneWay(this::store))
        .register(ForgetEntries.class, oneWay(replicaTable::forget))
        .register(FenceAndCollect.class, oneWay(this::fence));
  }

  private void submit(SubmitJob message) {
    Optional<PartitionHost> host = hosts.holding(JobIds.partition(message.header().id()));
    if (host.isEmpty()) {
      redirect(message.replyTo(), message.request(), message.header().id());
    } else {
      host.get().on(message);
    }
  }

  private void cancel(CancelJob message) {
    Optional<PartitionHost> host = hosts.holding(JobIds.partition(message.job()));
    if (host.isEmpty()) {
      redirect(message.replyTo(), message.request(), message.job());
    } else {
      host.get().on(message);
    }
  }

  private void redirect(InstanceId replyTo, RequestId request, JobId job) {
    send(replyTo, new JobAnswer(request, job, JobAnswerKind.NOT_HOLDER, Optional.empty()));
  }

  private void job(JobId job, JobEvent event) {
    hosts.holding(JobIds.partition(job)).ifPresent(host -> host.on(event));
  }

  /**
   * Splits the item list of a dispatcher by partition. The dispatcher sends one list for all
   * partitions of the holder; each partition receives its own items, or an empty list.
   */
  private void onItemsHeld(ItemsHeld message) {
    Map<PartitionId, List<ItemKey>> byPartition = new TreeMap<>();
    for (ItemKey item : message.items()) {
      byPartition.computeIfAbsent(JobIds.partition(item.job()), id -> new ArrayList<>()).add(item);
    }
    for (PartitionHost host : hosts.all()) {
      List<ItemKey> items = byPartition.getOrDefault(host.id(), List.of());
      host.on(new ItemsHeld(message.steward(), items));
    }
  }

  private void forward(ForwardRunOnce message) {
    PartitionId id = message.request().key().partition(partitions);
    Optional<PartitionHost> host = hosts.holding(id);
    if (host.isEmpty()) {
      send(message.replyTo(), new RunOnceAnswered(message.id(), message.epoch(), Optional.empty()));
    } else {
      host.get().on(message);
    }
  }

  private void runOnce(PartitionId id, RunOnceEvent event) {
    hosts.holding(id).ifPresent(host -> host.on(event));
  }

  private void store(StoreEntries message) {
    send(message.holder(), replicaTable.store(message, clock.instant()));
  }

  private void fence(FenceAndCollect message) {
    send(message.successor(), replicaTable.fence(message));
  }

  private void send(InstanceId target, PeerMessage message) {
    effects.perform(List.of(new SendPeerMessage(target, message)));
  }
}
