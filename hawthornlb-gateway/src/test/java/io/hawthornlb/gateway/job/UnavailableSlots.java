package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotRequest;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Slot client that refuses each request after its longest wait. */
class UnavailableSlots extends ForgetfulSlots {

  private final ScheduledExecutorService executor;

  UnavailableSlots(ScheduledExecutorService executor) {
    this.executor = executor;
  }

  @Override
  public void acquire(SlotRequest request, Listener listener) {
    SlotAnswer refused =
        new SlotAnswer.Refused(request.key(), Duration.ZERO, SlotAnswer.Load.UNKNOWN);
    executor.schedule(
        () -> listener.onAnswer(refused), request.maxWait().toMillis(), TimeUnit.MILLISECONDS);
  }
}
