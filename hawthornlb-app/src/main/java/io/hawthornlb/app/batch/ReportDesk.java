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
import io.hawthornlb.core.peer.PeerMessage;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
  private final Set<InstanceId> named = new HashSet<>();

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

  /**
   * Sends reports again, and names to each holder what is in progress; once a second.
   *
   * <p>A holder takes one message for all of its partitions: what is not named twice in a row it
   * gives out anew. One message a partition would tell it each time that the items of its other
   * partitions are gone, and they would run again.
   */
  void repeat(Collection<ItemKey> inProgress) {
    unsettled.forEach(this::send);
    Map<InstanceId, Set<ItemKey>> byHolder = new TreeMap<>();
    named.forEach(holder -> byHolder.put(holder, new HashSet<>()));
    inProgress.forEach(key -> add(byHolder, key));
    unsettled.keySet().forEach(key -> add(byHolder, key));
    named.clear();
    byHolder.forEach(this::name);
  }

  /** Returns whether every report is durable. */
  boolean settled() {
    return unsettled.isEmpty();
  }

  private void keep(ItemKey key, PeerMessage message) {
    unsettled.put(key, message);
    send(key, message);
  }

  private void name(InstanceId holder, Set<ItemKey> keys) {
    if (!keys.isEmpty()) {
      named.add(holder);
    }
    ItemsHeld message = new ItemsHeld(self, List.copyOf(keys));
    effects.perform(List.of(new SendPeerMessage(holder, message)));
  }

  private void add(Map<InstanceId, Set<ItemKey>> byHolder, ItemKey key) {
    holder(key).ifPresent(id -> byHolder.computeIfAbsent(id, none -> new HashSet<>()).add(key));
  }

  private void send(ItemKey key, PeerMessage message) {
    holder(key).ifPresent(holder -> effects.perform(List.of(new SendPeerMessage(holder, message))));
  }

  private Optional<InstanceId> holder(ItemKey key) {
    return claims.current(JobIds.partition(key.job())).map(Claim::holder);
  }
}
