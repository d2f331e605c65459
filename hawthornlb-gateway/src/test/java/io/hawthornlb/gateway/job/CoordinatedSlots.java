package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.slot.RequestQuota;
import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotClient;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import io.hawthornlb.gateway.slot.support.DefaultSlotCoordinator;
import io.hawthornlb.gateway.slot.support.SlotSettings;
import io.hawthornlb.gateway.wire.ReportedLoad;
import io.netty.channel.EventLoop;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Slot client whose requests a coordinator in the same process decides. */
final class CoordinatedSlots implements SlotClient {

  private static final long TICK_MILLIS = 20;

  private final DefaultSlotCoordinator coordinator;
  private final InstantSource clock;
  private final Map<SlotKey, Listener> listeners = new HashMap<>();
  private long numbers;

  CoordinatedSlots(
      String service, EndpointDirectory directory, InstantSource clock, EventLoop loop) {
    this.coordinator =
        new DefaultSlotCoordinator(
            service, directory, SlotSettings.DEFAULT, RequestQuota.UNLIMITED, fingerprint -> {});
    this.clock = clock;
    loop.scheduleAtFixedRate(
        () -> deliver(coordinator.tick(clock.instant())),
        TICK_MILLIS,
        TICK_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  @Override
  public void acquire(SlotRequest request, Listener listener) {
    listeners.put(request.key(), listener);
    deliver(coordinator.request(request, clock.instant()));
  }

  @Override
  public void release(SlotKey key, SlotOutcome outcome) {
    listeners.remove(key);
    deliver(coordinator.release(key, outcome, clock.instant()));
  }

  @Override
  public void suspect(SlotKey key) {}

  @Override
  public void refund(SlotRequest request) {}

  @Override
  public void reportLoad(SlotKey key, ReportedLoad load) {}

  @Override
  public SlotKey nextKey() {
    numbers++;
    return new SlotKey("holder", numbers);
  }

  private void deliver(List<SlotAnswer> answers) {
    for (SlotAnswer answer : answers) {
      Listener listener = listeners.get(answer.key());
      if (listener != null && !(answer instanceof SlotAnswer.Waiting)) {
        listener.onAnswer(answer);
      }
    }
  }
}
