package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.slot.RequestQuota;
import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import io.hawthornlb.gateway.slot.support.DefaultSlotCoordinator;
import io.hawthornlb.gateway.slot.support.SlotSettings;
import io.netty.channel.EventLoop;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Slot client whose requests a coordinator in the same process decides. */
final class CoordinatedSlots extends ForgetfulSlots {

  private static final long TICK_MILLIS = 20;

  private final DefaultSlotCoordinator coordinator;
  private final InstantSource clock;
  private final Map<SlotKey, Listener> listeners = new HashMap<>();

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

  private void deliver(List<SlotAnswer> answers) {
    for (SlotAnswer answer : answers) {
      Listener listener = listeners.get(answer.key());
      if (listener != null && !(answer instanceof SlotAnswer.Waiting)) {
        listener.onAnswer(answer);
      }
    }
  }
}
