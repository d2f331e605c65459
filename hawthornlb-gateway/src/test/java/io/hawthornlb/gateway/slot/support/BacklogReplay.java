package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Simulates, in virtual time, a backlog of batch items beside waves of online requests, as it
 * exists after all gateways have restarted. A preempted item requests another slot at once for its
 * remaining work.
 */
final class BacklogReplay {

  private static final int ENDPOINTS = 8;
  private static final int SLOTS = 8;
  private static final double REQUESTS_PER_SECOND = 40;
  private static final int USE_MILLIS = 700;
  private static final int RUN_MILLIS = 30_000;
  private static final int ARRIVALS_MILLIS = 20_000;
  private static final int JOB_EVERY_MILLIS = 2_000;
  private static final int BACKLOG = 300;

  /**
   * Share of an item's length that its holder assumes; the first finished items show that items run
   * longer than assumed.
   */
  private static final double ASSUMED_SHARE = 0.85;

  private static final int JOB_ITEMS = 10;
  private static final int ITEM_MILLIS = 4_800;
  private static final int COMPLETION_MILLIS = 18_000;
  private static final int TICK_MILLIS = 20;
  private static final int RENEW_MILLIS = 1_000;

  private final Random random;
  private final boolean checksRepeatedly;
  private final CoordinatorFixture fixture;
  private final Instant start;
  private final VirtualTime time = new VirtualTime();
  private final Map<SlotKey, SlotRequest> pending = new HashMap<>();
  private final Map<SlotKey, Runnable> onGrant = new HashMap<>();
  private final Map<SlotKey, Runnable> onRefusal = new HashMap<>();
  private final Map<SlotKey, Runnable> onRevoke = new HashMap<>();
  private int items;
  private int inTime;
  private int requests;
  private int soon;
  private int preempted;
  private long waited;

  /**
   * Result of a simulation.
   *
   * @param items number of items
   * @param inTime items that finished in time
   * @param requests number of online requests
   * @param soon online requests that got a slot within 100 ms
   * @param preempted number of preemptions of items
   * @param waited total time that online requests waited, in milliseconds
   */
  record Result(int items, int inTime, int requests, int soon, int preempted, long waited) {}

  BacklogReplay(long seed, SlotSettings settings) {
    random = new Random(seed);
    checksRepeatedly = settings.lateItemsLast();
    fixture = new CoordinatorFixture(settings);
    start = fixture.now;
    for (int i = 0; i < ENDPOINTS; i++) {
      fixture.endpoint("e" + i, "a", SLOTS);
    }
  }

  Result run() {
    for (int i = 0; i < BACKLOG / JOB_ITEMS; i++) {
      // These items have been waiting for up to 15 s.
      job(0, 3_000 + i * 15_000 * JOB_ITEMS / BACKLOG);
    }
    for (int at = 0; at < ARRIVALS_MILLIS; at += JOB_EVERY_MILLIS) {
      job(at, at + COMPLETION_MILLIS);
    }
    double at = 0;
    while (at < ARRIVALS_MILLIS) {
      double factor = at % 6_000 < 3_600 ? 0.39 : 1.91;
      at += -Math.log(1 - random.nextDouble()) * 1_000 / (REQUESTS_PER_SECOND * factor);
      time.at((int) at, this::online);
    }
    time.every(TICK_MILLIS, RUN_MILLIS, () -> take(fixture.tick()));
    time.every(RENEW_MILLIS, RUN_MILLIS, fixture::renew);
    time.runUntil(RUN_MILLIS, millis -> fixture.now = start.plusMillis(millis));
    return new Result(items, inTime, requests, soon, preempted, waited);
  }

  private void job(int arrives, int dueMillis) {
    for (int i = 0; i < JOB_ITEMS; i++) {
      item(arrives, dueMillis);
    }
  }

  private void item(int arrives, int dueMillis) {
    if (dueMillis < RUN_MILLIS) {
      items++;
      int work = ITEM_MILLIS / 2 + random.nextInt(ITEM_MILLIS);
      time.at(arrives, () -> askForItem(dueMillis, work, work));
    }
  }

  private void askForItem(int dueMillis, int work, int left) {
    // The length of an item is not known in advance; its holder reports the usual length.
    int reportedLeft =
        (int) (ASSUMED_SHARE * Math.max(ITEM_MILLIS / 6, ITEM_MILLIS - (work - left)));
    SlotRequest request =
        fixture.item(ranked(dueMillis, reportedLeft), Duration.ofMillis(reportedLeft));
    onGrant.put(request.key(), () -> runItem(request, dueMillis, work, left));
    onRefusal.put(request.key(), () -> askForItem(dueMillis, work, left));
    pending.put(request.key(), request);
    take(fixture.ask(request));
  }

  /**
   * Returns the due time that orders the item. Without repeated checks by the coordinator, an item
   * that cannot finish in time gets a due time an hour later.
   */
  private Instant ranked(int dueMillis, int left) {
    boolean last = !checksRepeatedly && time.now() + left > dueMillis;
    return start.plusMillis(dueMillis).plus(last ? Duration.ofHours(1) : Duration.ZERO);
  }

  private void runItem(SlotRequest request, int dueMillis, int work, int left) {
    int began = time.now();
    onRevoke.put(request.key(), () -> askForItem(dueMillis, work, left - (time.now() - began)));
    time.at(
        time.now() + left,
        () -> {
          if (onRevoke.remove(request.key()) != null) {
            inTime += time.now() <= dueMillis ? 1 : 0;
            release(request);
          }
        });
  }

  private void online() {
    requests++;
    SlotRequest request = fixture.online("a");
    int use = USE_MILLIS / 2 + random.nextInt(USE_MILLIS);
    int arrived = time.now();
    onGrant.put(
        request.key(),
        () -> {
          soon += time.now() - arrived <= 100 ? 1 : 0;
          waited += time.now() - arrived;
          time.at(time.now() + use, () -> release(request));
        });
    pending.put(request.key(), request);
    take(fixture.ask(request));
  }

  private void take(List<SlotAnswer> answers) {
    for (SlotAnswer answer : answers) {
      if (answer instanceof SlotAnswer.Revoked) {
        fixture.ended(answer.key());
        Runnable preempt = onRevoke.remove(answer.key());
        if (preempt != null) {
          preempted++;
          // Datagrams take time to arrive, so the item sends its request after the request that
          // needs its slot.
          time.at(time.now() + 1, preempt);
        }
      } else if (answer instanceof SlotAnswer.Granted granted) {
        onRefusal.remove(answer.key());
        fixture.began(pending.remove(answer.key()), granted.endpoint());
        onGrant.remove(answer.key()).run();
      } else if (answer instanceof SlotAnswer.Refused) {
        pending.remove(answer.key());
        onGrant.remove(answer.key());
        Runnable retry = onRefusal.remove(answer.key());
        if (retry != null) {
          time.at(time.now() + 100, retry);
        }
      }
    }
  }

  private void release(SlotRequest request) {
    fixture.ended(request.key());
    take(fixture.release(request, SlotOutcome.ANSWERED));
  }
}
