package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Simulates, in virtual time, waves of requests to endpoints that admit requests in order of
 * arrival.
 *
 * <p>Either one coordinator hands out the slots, or each of 13 gateways places requests by its own
 * counts and runs one thirteenth of the items, up to its share of the slots.
 */
final class WaveReplay {

  private static final int GATEWAYS = 13;
  private static final int ENDPOINTS = 6;
  private static final int SLOTS = 8;
  private static final int RUN_MILLIS = 24_000;
  private static final double REQUESTS_PER_SECOND = 28;
  private static final int USE_MILLIS = 640;
  private static final int ITEM_MILLIS = 5_000;
  private static final int ITEMS_WAITING = 60;
  private static final int FIRST_EVENT_MILLIS = 60;
  private static final int OBJECTIVE_MILLIS = 300;
  private static final int TICK_MILLIS = 20;
  private static final int RENEW_MILLIS = 1_000;

  private final Random random;
  private final boolean coordinated;
  private final CoordinatorFixture fixture = new CoordinatorFixture();
  private final Instant start = fixture.now;
  private final VirtualTime time = new VirtualTime();
  private final List<Engine> engines = new ArrayList<>();
  private final Map<SlotKey, Runnable> onGrant = new HashMap<>();
  private final Map<SlotKey, Runnable> onRefusal = new HashMap<>();
  private final Map<SlotKey, Runnable> onRevoke = new HashMap<>();
  private final Map<SlotKey, String> grantedAt = new HashMap<>();
  private final int[][] ownCounts = new int[GATEWAYS][ENDPOINTS];
  private int asked;
  private int onTime;
  private long itemMillis;

  /**
   * Result of a simulation.
   *
   * @param asked number of online requests
   * @param onTime requests whose first event was on time
   * @param itemMillis total time that items ran, in milliseconds
   */
  record Result(int asked, int onTime, long itemMillis) {

    double onTimeShare() {
      return (double) onTime / asked;
    }
  }

  /** An endpoint that admits requests in order of arrival. */
  private final class Engine {

    private final List<Runnable> queue = new ArrayList<>();
    private int running;

    private void arrive(Runnable begin) {
      queue.add(begin);
      admit();
    }

    private void left() {
      running--;
      admit();
    }

    private void admit() {
      while (running < SLOTS && !queue.isEmpty()) {
        running++;
        queue.remove(0).run();
      }
    }
  }

  private WaveReplay(long seed, boolean coordinated) {
    this.random = new Random(seed);
    this.coordinated = coordinated;
    for (int i = 0; i < ENDPOINTS; i++) {
      engines.add(new Engine());
      fixture.endpoint(String.valueOf(i), "a", SLOTS);
    }
  }

  static WaveReplay coordinated(long seed) {
    return new WaveReplay(seed, true);
  }

  static WaveReplay independent(long seed) {
    return new WaveReplay(seed, false);
  }

  Result run() {
    scheduleArrivals();
    for (int i = 0; i < ITEMS_WAITING; i++) {
      int item = i;
      time.at(0, () -> startItem(item));
    }
    if (coordinated) {
      time.every(TICK_MILLIS, RUN_MILLIS, () -> take(fixture.tick()));
      time.every(RENEW_MILLIS, RUN_MILLIS, fixture::renew);
    }
    time.runUntil(RUN_MILLIS, millis -> fixture.now = start.plusMillis(millis));
    return new Result(asked, onTime, itemMillis);
  }

  private void scheduleArrivals() {
    double at = 0;
    while (at < RUN_MILLIS - 1_000) {
      double factor = at % 6_000 < 3_600 ? 0.39 : 1.91;
      at += -Math.log(1 - random.nextDouble()) * 1_000 / (REQUESTS_PER_SECOND * factor);
      int arrival = (int) at;
      time.at(arrival, () -> arrive(random.nextInt(GATEWAYS)));
    }
  }

  private void arrive(int gateway) {
    asked++;
    int arrived = time.now();
    if (!coordinated) {
      int endpoint = leastUsedByOwnCount(gateway);
      ownCounts[gateway][endpoint]++;
      engines
          .get(endpoint)
          .arrive(() -> use(arrived, endpoint, () -> ownCounts[gateway][endpoint]--));
      return;
    }
    SlotRequest request = fixture.online("a");
    onGrant.put(
        request.key(),
        () -> {
          int endpoint = Integer.parseInt(grantedAt.get(request.key()));
          fixture.began(request, String.valueOf(endpoint));
          Runnable release =
              () -> {
                fixture.ended(request.key());
                take(fixture.release(request, SlotOutcome.ANSWERED));
              };
          engines.get(endpoint).arrive(() -> use(arrived, endpoint, release));
        });
    take(fixture.ask(request));
  }

  private void use(int arrived, int endpoint, Runnable release) {
    if (time.now() + FIRST_EVENT_MILLIS - arrived <= OBJECTIVE_MILLIS) {
      onTime++;
    }
    int length = USE_MILLIS / 2 + random.nextInt(USE_MILLIS);
    time.at(
        time.now() + length,
        () -> {
          engines.get(endpoint).left();
          release.run();
        });
  }

  private int leastUsedByOwnCount(int gateway) {
    int best = random.nextInt(ENDPOINTS);
    for (int i = 0; i < ENDPOINTS; i++) {
      if (ownCounts[gateway][i] < ownCounts[gateway][best]) {
        best = i;
      }
    }
    return best;
  }

  private void startItem(int item) {
    if (!coordinated) {
      // Half of the slots: the share of the items, less what online requests need on average.
      if (item < ENDPOINTS * SLOTS / 2) {
        int endpoint = item % ENDPOINTS;
        engines.get(endpoint).arrive(() -> runWithoutCoordinator(item, endpoint));
      }
      return;
    }
    SlotRequest request = fixture.batch(start.plusSeconds(18).plusMillis(item));
    boolean[] ended = new boolean[1];
    onGrant.put(
        request.key(),
        () -> {
          int endpoint = Integer.parseInt(grantedAt.get(request.key()));
          fixture.began(request, String.valueOf(endpoint));
          engines.get(endpoint).arrive(() -> runItem(item, request, endpoint, ended));
        });
    onRefusal.put(request.key(), () -> startItem(item));
    take(fixture.ask(request));
  }

  private void runWithoutCoordinator(int item, int endpoint) {
    time.at(
        time.now() + ITEM_MILLIS,
        () -> {
          itemMillis += ITEM_MILLIS;
          engines.get(endpoint).left();
          startItem(item);
        });
  }

  private void runItem(int item, SlotRequest request, int endpoint, boolean[] ended) {
    int began = time.now();
    Runnable end =
        () -> {
          if (!ended[0]) {
            ended[0] = true;
            itemMillis += time.now() - began;
            fixture.ended(request.key());
            engines.get(endpoint).left();
            time.at(time.now(), () -> startItem(item));
          }
        };
    onRevoke.put(request.key(), end);
    time.at(
        time.now() + ITEM_MILLIS,
        () -> {
          if (!ended[0]) {
            end.run();
            take(fixture.release(request, SlotOutcome.ANSWERED));
          }
        });
  }

  private void take(List<SlotAnswer> answers) {
    for (SlotAnswer answer : answers) {
      if (answer instanceof SlotAnswer.Revoked) {
        Runnable end = onRevoke.remove(answer.key());
        if (end != null) {
          end.run();
        }
      } else if (answer instanceof SlotAnswer.Granted granted) {
        onRefusal.remove(granted.key());
        grantedAt.put(granted.key(), granted.endpoint());
        onGrant.remove(granted.key()).run();
      } else if (answer instanceof SlotAnswer.Refused) {
        onGrant.remove(answer.key());
        Runnable retry = onRefusal.remove(answer.key());
        if (retry != null) {
          time.at(time.now(), retry);
        }
      }
    }
  }
}
