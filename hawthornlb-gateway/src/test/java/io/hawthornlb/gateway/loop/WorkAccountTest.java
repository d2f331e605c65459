package io.hawthornlb.gateway.loop;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class WorkAccountTest {

  private long now;
  private final WorkAccount account = new WorkAccount(() -> now);

  @Test
  void accountsTheTimeOfEachWorkItem() {
    account.begin(WorkKind.SELECT);
    now += 5;
    account.begin(WorkKind.TIMER);
    now += 7;
    account.begin(WorkKind.SELECT);
    now += 1;
    account.begin(WorkKind.LOOP);
    assertEquals(6, account.nanos(WorkKind.SELECT));
    assertEquals(2, account.count(WorkKind.SELECT));
    assertEquals(7, account.nanos(WorkKind.TIMER));
    assertEquals(1, account.count(WorkKind.TIMER));
  }

  /**
   * Guards against reading and decoding that are accounted to no kind, because the kind of an event
   * is known only afterwards.
   */
  @Test
  void accountsAMarkedWorkItemFromItsStart() {
    account.begin(WorkKind.OTHER);
    now += 5;
    account.mark(WorkKind.ITEM);
    now += 7;
    account.begin(WorkKind.LOOP);
    assertEquals(12, account.nanos(WorkKind.ITEM));
    assertEquals(1, account.count(WorkKind.ITEM));
    assertEquals(0, account.nanos(WorkKind.OTHER));
    assertEquals(0, account.count(WorkKind.OTHER));
  }
}
