package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.peer.PaceReportFilter;
import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import io.hawthornlb.gateway.wire.ReportedLoad;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Simulates, in virtual time, load cycles on endpoints that need 0.6, 1.0 and 1.6 times the usual
 * time, each of which turns 2.5 times as slow for 600 ms at a time.
 */
final class PaceReplay {

  private static final int ENDPOINTS = 63;
  private static final int SLOTS = 8;
  private static final int GATEWAYS = 70;
  private static final double[] FACTORS = {0.6, 1.0, 1.6};
  private static final double SLOWDOWN = 2.5;
  private static final int SPELL_MILLIS = 600;

  /** Mean time between spells, with which an endpoint is slow for 15% of the time. */
  private static final int GAP_MILLIS = 3_400;

  private static final int RUN_MILLIS = 48_000;
  private static final int ARRIVALS_MILLIS = 30_000;
  private static final double STREAMS_PER_SECOND = 282;
  private static final double PLAIN_PER_SECOND = 99;
  private static final double JOBS_PER_SECOND = 3.6;
  private static final int JOB_ITEMS = 10;
  private static final int PROMPT_MILLIS = 110;
  private static final int EVENT_MILLIS = 30;
  private static final int STREAM_EVENTS = 22;
  private static final int ITEM_EVENTS = 152;
  private static final int PLAIN_MILLIS = 43;
  private static final int STREAM_OBJECTIVE = 305;
  private static final int PLAIN_OBJECTIVE = 447;
  private static final int PATIENCE_MILLIS = 5_000;
  private static final int ITEM_DUE_MILLIS = 18_000;

  /** Least remaining work of an item for which moving it could pay. */
  private static final int MOVED_MILLIS = 1_000;

  /** The policies that are compared. */
  enum Policy {
    /** No pace reaches the coordinator. */
    EXISTING,
    /** Items on an endpoint that turns slow stay there. */
    PACED,
    /** Items on an endpoint that turns slow request another slot. */
    PACED_MOVING
  }

  /**
   * Result of a simulation.
   *
   * @param onTime share of online requests whose first event, or plain answer, was on time
   * @param meanMillis mean time of a stream from its arrival to its end
   * @param p95Millis 95th percentile of that time
   * @param refused number of refusals
   * @param itemsInTime share of items that ended in time
   * @param revoked number of items that lost their slot
   * @param crossed share of online requests that left their data centre
   */
  record Result(
      double onTime,
      int meanMillis,
      int p95Millis,
      int refused,
      double itemsInTime,
      int revoked,
      double crossed) {

    @Override
    public String toString() {
      return "on time %.4f, mean %d ms, p95 %d ms, refused %d, items %.3f, revoked %d, crossed %.3f"
          .formatted(onTime, meanMillis, p95Millis, refused, itemsInTime, revoked, crossed);
    }
  }

  private record Caller(long id, boolean plain, String dataCentre, int arrived, int work) {}

  private record Item(String dataCentre, int due, int left) {}

  private record Running(SlotKey key, Item item, int endpoint, int began) {}

  private final Random random;
  private final Random gateways;
  private final Policy policy;
  private final CoordinatorFixture fixture = new CoordinatorFixture();
  private final Instant start = fixture.now;
  private final VirtualTime time = new VirtualTime();
  private final int[][] spells = new int[ENDPOINTS][];
  private final PaceReportFilter[] filters = new PaceReportFilter[GATEWAYS];
  private final Map<SlotKey, SlotRequest> asked = new HashMap<>();
  private final Map<SlotKey, Caller> callers = new HashMap<>();
  private final Map<SlotKey, Item> items = new HashMap<>();
  private final Map<SlotKey, Running> running = new HashMap<>();
  private final Map<Long, Boolean> refusedOnce = new HashMap<>();
  private final List<Integer> durations = new ArrayList<>();
  private long numbers;
  private int requests;
  private int onTime;
  private int crossed;
  private int refused;
  private int itemsAsked;
  private int itemsInTime;
  private int revoked;
  private int inUse;

  PaceReplay(long seed, Policy policy) {
    this.random = new Random(seed);
    this.gateways = new Random(-seed);
    this.policy = policy;
    for (int i = 0; i < ENDPOINTS; i++) {
      fixture.endpoint(String.valueOf(i), "d" + i % 3, SLOTS);
      spells[i] = spells(new Random(seed * 1_000 + i));
    }
    Arrays.setAll(filters, any -> new PaceReportFilter());
  }

  Result run() {
    arrivals(STREAMS_PER_SECOND, true, () -> arrive(false));
    arrivals(PLAIN_PER_SECOND, true, () -> arrive(true));
    arrivals(JOBS_PER_SECOND, false, this::submit);
    time.every(20, RUN_MILLIS, () -> take(fixture.tick()));
    time.every(1_000, RUN_MILLIS, fixture::renew);
    time.runUntil(RUN_MILLIS, millis -> fixture.now = start.plusMillis(millis));
    int[] sorted = durations.stream().mapToInt(Integer::intValue).sorted().toArray();
    return new Result(
        (double) onTime / requests,
        (int) Arrays.stream(sorted).average().orElse(0),
        sorted[sorted.length * 95 / 100],
        refused,
        (double) itemsInTime / itemsAsked,
        revoked,
        (double) crossed / requests);
  }

  private static int[] spells(Random drawn) {
    List<Integer> begins = new ArrayList<>();
    double at = -SPELL_MILLIS;
    while (at < RUN_MILLIS) {
      at += SPELL_MILLIS - Math.log(1 - drawn.nextDouble()) * GAP_MILLIS;
      begins.add((int) at);
    }
    return begins.stream().mapToInt(Integer::intValue).toArray();
  }

  private void arrivals(double perSecond, boolean cyclic, Runnable action) {
    Random drawn = new Random(random.nextLong());
    double at = 0;
    while (at < ARRIVALS_MILLIS) {
      double factor = !cyclic ? 1 : at % 6_000 < 3_600 ? 0.391 : 1.91;
      at += -Math.log(1 - drawn.nextDouble()) * 1_000 / (perSecond * factor);
      time.at((int) at, action);
    }
  }

  private void arrive(boolean plain) {
    requests++;
    int work = plain ? PLAIN_MILLIS : PROMPT_MILLIS + EVENT_MILLIS * around(STREAM_EVENTS);
    ask(new Caller(++numbers, plain, dataCentre(), time.now(), work));
  }

  private void ask(Caller caller) {
    int objective = caller.plain() ? PLAIN_OBJECTIVE : STREAM_OBJECTIVE;
    SlotRequest request =
        SlotRequest.builder(new SlotKey("holder", ++numbers), CoordinatorFixture.SERVICE)
            .dataCentre(caller.dataCentre())
            .maxWait(Duration.ofMillis(objective / 2))
            .patience(Duration.ofMillis(PATIENCE_MILLIS / 2))
            .fingerprint(caller.id())
            .build();
    asked.put(request.key(), request);
    callers.put(request.key(), caller);
    take(fixture.ask(request));
  }

  private void submit() {
    for (int i = 0; i < JOB_ITEMS; i++) {
      itemsAsked++;
      int work = EVENT_MILLIS * around(ITEM_EVENTS);
      askForItem(new Item(dataCentre(), time.now() + ITEM_DUE_MILLIS, work));
    }
  }

  private void askForItem(Item item) {
    SlotRequest request =
        SlotRequest.builder(new SlotKey("holder", ++numbers), CoordinatorFixture.SERVICE)
            .batch(true)
            .rank(start.plusMillis(item.due()).toEpochMilli())
            .work(Duration.ofMillis(item.left() + PROMPT_MILLIS))
            .dataCentre(item.dataCentre())
            .maxWait(Duration.ofSeconds(2))
            .build();
    asked.put(request.key(), request);
    items.put(request.key(), item);
    take(fixture.ask(request));
  }

  private void take(List<SlotAnswer> answers) {
    for (SlotAnswer answer : answers) {
      SlotKey key = answer.key();
      if (answer instanceof SlotAnswer.Granted granted) {
        inUse++;
        fixture.began(asked.get(key), granted.endpoint());
        begin(key, Integer.parseInt(granted.endpoint()));
      } else if (answer instanceof SlotAnswer.Revoked) {
        inUse--;
        fixture.ended(key);
        revoked++;
        askAgain(running.remove(key));
      } else if (answer instanceof SlotAnswer.Refused refusal) {
        asked.remove(key);
        refuse(key, refusal.retryAfter());
      }
    }
  }

  private void refuse(SlotKey key, Duration retryAfter) {
    Item item = items.remove(key);
    if (item != null) {
      time.at(time.now() + 100, () -> askForItem(item));
      return;
    }
    refused++;
    Caller caller = callers.remove(key);
    if (refusedOnce.put(caller.id(), true) == null) {
      int longest = (PATIENCE_MILLIS - (time.now() - caller.arrived())) / 3;
      time.at(time.now() + (int) Math.min(longest, retryAfter.toMillis()), () -> ask(caller));
    }
  }

  private void begin(SlotKey key, int endpoint) {
    int now = time.now();
    Item item = items.remove(key);
    int gateway = gateways.nextInt(GATEWAYS);
    if (item != null) {
      Running use = new Running(key, item, endpoint, now);
      running.put(key, use);
      time.at(endOf(endpoint, now, PROMPT_MILLIS), () -> respond(key, endpoint, gateway));
      time.at(endOf(endpoint, now, PROMPT_MILLIS + item.left()), () -> endItem(use));
      return;
    }
    Caller caller = callers.remove(key);
    int first = caller.plain() ? PLAIN_MILLIS : PROMPT_MILLIS + EVENT_MILLIS;
    int answered = endOf(endpoint, now, first);
    int objective = caller.plain() ? PLAIN_OBJECTIVE : STREAM_OBJECTIVE;
    onTime += answered - caller.arrived() <= objective ? 1 : 0;
    crossed += caller.dataCentre().equals("d" + endpoint % 3) ? 0 : 1;
    time.at(answered, () -> respond(key, endpoint, gateway));
    int end = endOf(endpoint, now, caller.work());
    if (!caller.plain()) {
      durations.add(end - caller.arrived());
    }
    time.at(end, () -> release(key));
  }

  private void endItem(Running use) {
    if (running.remove(use.key(), use)) {
      itemsInTime += time.now() <= use.item().due() ? 1 : 0;
      release(use.key());
    }
  }

  private void release(SlotKey key) {
    inUse--;
    fixture.ended(key);
    take(fixture.release(asked.remove(key), SlotOutcome.ANSWERED));
  }

  private void askAgain(Running use) {
    asked.remove(use.key());
    int done = workDone(use.endpoint(), use.began(), time.now());
    int left = use.item().left() - Math.max(0, done - PROMPT_MILLIS);
    Item rest = new Item(use.item().dataCentre(), use.item().due(), Math.max(EVENT_MILLIS, left));
    time.at(time.now() + 1, () -> askForItem(rest));
  }

  /** Passes on the pace that an endpoint reports in the headers of a response. */
  private void respond(SlotKey key, int endpoint, int gateway) {
    int percent = slowAt(endpoint, time.now()) ? (int) (100 * SLOWDOWN) : 100;
    String id = String.valueOf(endpoint);
    boolean passes = filters[gateway].passes(id, percent, fixture.now);
    if (policy == Policy.EXISTING || !passes || !asked.containsKey(key)) {
      return;
    }
    fixture.coordinator.reportLoad(key, new ReportedLoad(1, 0, percent), fixture.now);
    if (policy == Policy.PACED_MOVING && percent > 100) {
      moveItems(endpoint);
    }
  }

  private void moveItems(int endpoint) {
    for (Running use : List.copyOf(running.values())) {
      boolean here = use.endpoint() == endpoint && use.item().left() > MOVED_MILLIS;
      if (here && time.now() > use.began() && inUse < ENDPOINTS * SLOTS * 9 / 10) {
        inUse--;
        running.remove(use.key());
        fixture.ended(use.key());
        SlotRequest request = asked.get(use.key());
        askAgain(use);
        take(fixture.release(request, SlotOutcome.ABANDONED));
      }
    }
  }

  /** Returns the time at which an endpoint has done work that it began at a given time. */
  private int endOf(int endpoint, int from, int work) {
    double factor = FACTORS[endpoint / 3 % 3];
    double at = from;
    double left = work;
    while (true) {
      boolean slow = slowAt(endpoint, (int) at);
      double each = slow ? factor * SLOWDOWN : factor;
      int until = nextChange(endpoint, (int) at);
      if (at + left * each <= until) {
        return (int) Math.ceil(at + left * each);
      }
      left -= (until - at) / each;
      at = until;
    }
  }

  /** Returns the work, in milliseconds of the usual pace, that an endpoint does in a time. */
  private int workDone(int endpoint, int from, int to) {
    double factor = FACTORS[endpoint / 3 % 3];
    double done = 0;
    int at = from;
    while (at < to) {
      int until = Math.min(to, nextChange(endpoint, at));
      done += (until - at) / (slowAt(endpoint, at) ? factor * SLOWDOWN : factor);
      at = until;
    }
    return (int) done;
  }

  private boolean slowAt(int endpoint, int millis) {
    int last = lastSpell(endpoint, millis);
    return last >= 0 && millis < spells[endpoint][last] + SPELL_MILLIS;
  }

  private int nextChange(int endpoint, int millis) {
    int last = lastSpell(endpoint, millis);
    if (last >= 0 && millis < spells[endpoint][last] + SPELL_MILLIS) {
      return spells[endpoint][last] + SPELL_MILLIS;
    }
    return last + 1 < spells[endpoint].length ? spells[endpoint][last + 1] : Integer.MAX_VALUE;
  }

  /** Returns the index of the last spell that began by a time; -1 if there is none. */
  private int lastSpell(int endpoint, int millis) {
    int found = Arrays.binarySearch(spells[endpoint], millis);
    return found >= 0 ? found : -found - 2;
  }

  private int around(int mean) {
    return mean / 2 + random.nextInt(mean);
  }

  private String dataCentre() {
    return "d" + random.nextInt(3);
  }
}
