package io.hawthornlb.app.batch;

import io.hawthornlb.app.entry.EffectSink;
import io.hawthornlb.core.claim.Claim;
import io.hawthornlb.core.claim.ClaimView;
import io.hawthornlb.core.effect.SendPeerMessage;
import io.hawthornlb.core.job.FailureKind;
import io.hawthornlb.core.job.ItemFailed;
import io.hawthornlb.core.job.ItemFinished;
import io.hawthornlb.core.job.ItemKey;
import io.hawthornlb.core.job.ItemsHeld;
import io.hawthornlb.core.job.ItemsSettled;
import io.hawthornlb.core.job.JobIds;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.peer.PeerMessage;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Keeps each report on an item until its holder says that it is durable; used on the loop.
 *
 * <p>A holder that dies with reports in memory would otherwise take results with it, and the items
 * would run again.
 */
final class ReportDesk {

  private final InstanceId self;
  private final ClaimView claims;
  private final EffectSink effects;
  private final Map<ItemKey, PeerMessage> unsettled = new LinkedHashMap<>();
  private final Set<PartitionId> named = new HashSet<>();

  ReportDesk(InstanceId self, ClaimView claims, EffectSink effects) {
    this.self = self;
    this.claims = claims;
    this.effects = effects;
  }

  void finished(ItemWork work, String result) {
    keep(work.key(), new ItemFinished(self, work.key(), work.content().customId(), result));
  }

  void failed(ItemWork work, FailureKind kind, String cause) {
    keep(work.key(), new ItemFailed(self, work.key(), work.content().customId(), kind, cause));
  }

  void forget(ItemsSettled message) {
    message.items().forEach(index -> unsettled.remove(new ItemKey(message.job(), index)));
  }

  /** Sends reports again, and names to each holder what is in progress; once a second. */
  void repeat(Collection<ItemKey> inProgress) {
    unsettled.forEach(this::send);
    Map<PartitionId, Set<ItemKey>> byPartition = new TreeMap<>();
    named.forEach(id -> byPartition.put(id, new HashSet<>()));
    inProgress.forEach(key -> add(byPartition, key));
    unsettled.keySet().forEach(key -> add(byPartition, key));
    named.clear();
    byPartition.forEach(
        (id, keys) -> {
          if (!keys.isEmpty()) {
            named.add(id);
          }
          sendTo(id, new ItemsHeld(self, List.copyOf(keys)));
        });
  }

  /** Returns whether every report is durable. */
  boolean settled() {
    return unsettled.isEmpty();
  }

  private void keep(ItemKey key, PeerMessage message) {
    unsettled.put(key, message);
    send(key, message);
  }

  private static void add(Map<PartitionId, Set<ItemKey>> byPartition, ItemKey key) {
    byPartition.computeIfAbsent(partition(key.job()), id -> new HashSet<>()).add(key);
  }

  private void send(ItemKey key, PeerMessage message) {
    sendTo(partition(key.job()), message);
  }

  private void sendTo(PartitionId id, PeerMessage message) {
    claims
        .current(id)
        .map(Claim::holder)
        .ifPresent(holder -> effects.perform(List.of(new SendPeerMessage(holder, message))));
  }

  private static PartitionId partition(JobId job) {
    return JobIds.partition(job);
  }
}
