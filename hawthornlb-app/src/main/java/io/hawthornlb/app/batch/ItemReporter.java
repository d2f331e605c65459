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
 * Sends reports on items to the holders of their partitions, and keeps each report until the holder
 * confirms that it is durable. Used on the decision loop.
 *
 * <p>If reports were not kept, a holder that crashes with reports only in memory would lose
 * results, and the items would run again.
 */
final class ItemReporter {

  private final InstanceId self;
  private final ClaimView claims;
  private final EffectSink effects;
  private final Map<ItemKey, PeerMessage> unsettled = new LinkedHashMap<>();
  private final Set<InstanceId> lastListed = new HashSet<>();

  ItemReporter(InstanceId self, ClaimView claims, EffectSink effects) {
    this.self = self;
    this.claims = claims;
    this.effects = effects;
  }

  void finished(LoadedItem loaded, String result) {
    keep(loaded.key(), new ItemFinished(self, loaded.key(), loaded.content().customId(), result));
  }

  void failed(LoadedItem loaded, FailureKind kind, String cause) {
    keep(
        loaded.key(), new ItemFailed(self, loaded.key(), loaded.content().customId(), kind, cause));
  }

  /** Gives an item back to its holder that has not run. */
  void giveBack(ItemKey key, String cause) {
    keep(key, new ItemFailed(self, key, "", FailureKind.NOT_RUN, cause));
  }

  /** Discards the report that an item is to run again, since it was assigned again. */
  void assignedAgain(ItemKey key) {
    if (unsettled.containsKey(key) && !endsItem(unsettled.get(key))) {
      unsettled.remove(key);
    }
  }

  void onSettled(ItemsSettled message) {
    message.items().forEach(index -> unsettled.remove(new ItemKey(message.job(), index)));
  }

  /**
   * Resends the reports that are not durable yet, and sends each holder the list of items in
   * progress, including those whose outcome is not durable yet. Call this method once a second.
   *
   * <p>Items that are to run again are not listed. The holder would assign a listed item to this
   * instance again, which no longer has it, and the item would never run.
   *
   * <p>Each holder receives one list for all of its partitions. The holder dispatches again any
   * item that two consecutive lists omit. With one list for each partition, every list would omit
   * the items of the other partitions, and those items would run again.
   */
  void resend(Collection<ItemKey> inProgress) {
    unsettled.forEach(this::send);
    Map<InstanceId, Set<ItemKey>> byHolder = new TreeMap<>();
    lastListed.forEach(holder -> byHolder.put(holder, new HashSet<>()));
    inProgress.forEach(key -> add(byHolder, key));
    unsettled.forEach(
        (key, report) -> {
          if (endsItem(report)) {
            add(byHolder, key);
          }
        });
    lastListed.clear();
    byHolder.forEach(this::sendList);
  }

  /** Returns whether every report is durable. */
  boolean settled() {
    return unsettled.isEmpty();
  }

  private void keep(ItemKey key, PeerMessage message) {
    unsettled.put(key, message);
    send(key, message);
  }

  private static boolean endsItem(PeerMessage report) {
    return !(report instanceof ItemFailed failed) || failed.kind() == FailureKind.PERMANENT;
  }

  private void sendList(InstanceId holder, Set<ItemKey> keys) {
    if (!keys.isEmpty()) {
      lastListed.add(holder);
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
