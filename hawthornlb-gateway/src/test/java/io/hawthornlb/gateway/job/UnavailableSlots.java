package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotClient;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import io.hawthornlb.gateway.wire.ReportedLoad;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Slot client that refuses each request after its longest wait. */
class UnavailableSlots implements SlotClient {

  private final ScheduledExecutorService executor;
  private long numbers;

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

  @Override
  public void release(SlotKey key, SlotOutcome outcome) {}

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
}
