package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.slot.SlotClient;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import io.hawthornlb.gateway.wire.ReportedLoad;

/** Slot client that ignores what becomes of the slots. */
abstract class ForgetfulSlots implements SlotClient {

  private long numbers;

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
