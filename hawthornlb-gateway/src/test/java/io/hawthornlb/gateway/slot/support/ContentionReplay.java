package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.work.WorkSize;
import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.slot.RequestQuota;
import io.hawthornlb.gateway.slot.SchedulingSettings;
import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Predicate;

/**
 * Replays load cycles of 3.6 s at 0.391 and 2.4 s at 1.91 times the mean, with callers of 86
 * workspaces in three data centres. Three workspaces are ten times as large as the others; one of
 * the others sends 5.6 times its usual load, from the first data centre. Work is unequal, and
 * estimated from a hint that is off by a third. A refused caller retries once, after the announced
 * time or a third of its remaining time; one in ten retries after half of that.
 */
final class ContentionReplay {

  static final int HOT = 40;

  private static final int ENDPOINTS = 24;
  private static final int SLOTS = 8;
  private static final int WORKSPACES = 86;
  private static final int RUN_MILLIS = 48_000;
  private static final int USE_MILLIS = 600;
  private static final int LIMIT_MILLIS = 5_000;
  private static final double REQUESTS_PER_SECOND = 230;
  private static final Duration MAX_WAIT = Duration.ofMillis(150);
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  private final Random random;
  private final EndpointDirectory directory = new EndpointDirectory();
  private final EndpointDirectory cutOff = new EndpointDirectory();
  private final DefaultSlotCoordinator coordinator;
  private final DefaultSlotCoordinator cutOffCoordinator;
  private final VirtualTime time = new VirtualTime();
  private final List<Caller> callers = new ArrayList<>();
  private final Map<SlotKey, Caller> asking = new HashMap<>();
  private boolean cut;
  private long numbers;

  /** A caller and what became of its request. */
  static final class Caller {
    final int workspace;
    final String dataCentre;
    final int use;
    final int hint;
    final boolean hasty;
    final int arrived;
    int asked;
    int refusals;
    boolean served;
    boolean onTime;

    private Caller(Random random, int arrived) {
      double draw = random.nextDouble() * (WORKSPACES - 4 + 30 + 5.6);
      boolean hot = draw < 5.6;
      workspace = hot ? HOT : draw < 35.6 ? (int) ((draw - 5.6) / 10) : other(draw - 35.6);
      String from = "abc".charAt(random.nextInt(3)) + "";
      dataCentre = hot ? "a" : from;
      use = (int) (USE_MILLIS * Math.exp(0.7 * random.nextGaussian() - 0.245));
      hint = (int) (use * Math.exp(0.33 * random.nextGaussian()));
      hasty = random.nextInt(10) == 0;
      this.arrived = arrived;
    }

    private static int other(double draw) {
      int index = 3 + (int) draw;
      return index >= HOT ? index + 1 : index;
    }
  }

  /**
   * Creates a replay.
   *
   * @param contended whether the policy for contended deployments is in effect
   */
  ContentionReplay(long seed, boolean contended) {
    random = new Random(seed);
    for (int i = 0; i < ENDPOINTS; i++) {
      put(directory, i, false);
      if (i % 3 == 2) {
        put(cutOff, i, false);
      }
    }
    coordinator = coordinator(directory, contended);
    cutOffCoordinator = coordinator(cutOff, contended);
  }

  private static void put(EndpointDirectory directory, int number, boolean leaving) {
    InetSocketAddress nowhere = new InetSocketAddress("127.0.0.1", 1);
    String where = "abc".charAt(number % 3) + "";
    directory.put(new EndpointRecord("e" + number, "s", nowhere, where, SLOTS, leaving));
  }

  private static DefaultSlotCoordinator coordinator(EndpointDirectory from, boolean contended) {
    SchedulingSettings scheduling = new SchedulingSettings(contended);
    SlotSettings settings = SlotSettings.builder().scheduling(scheduling).build();
    return new DefaultSlotCoordinator("s", from, settings, RequestQuota.UNLIMITED, barred -> {});
  }

  /** Runs with the third data centre partitioned off from one moment to another. */
  ContentionReplay run(int cutFrom, int cutUntil) {
    double at = 0;
    while (at < RUN_MILLIS) {
      double factor = at % 6_000 < 3_600 ? 0.391 : 1.91;
      at += -Math.log(1 - random.nextDouble()) * 1_000 / (REQUESTS_PER_SECOND * factor);
      Caller caller = new Caller(random, (int) at);
      callers.add(caller);
      time.at((int) at, () -> ask(caller));
    }
    time.at(cutFrom, () -> cut(true));
    time.at(cutUntil, () -> cut(false));
    time.every(20, RUN_MILLIS + LIMIT_MILLIS, this::tick);
    time.runUntil(RUN_MILLIS + LIMIT_MILLIS, millis -> {});
    return this;
  }

  private void cut(boolean now) {
    cut = now;
    for (int i = 2; i < ENDPOINTS; i += 3) {
      put(directory, i, now);
    }
  }

  private void tick() {
    take(coordinator, coordinator.tick(now()));
    take(cutOffCoordinator, cutOffCoordinator.tick(now()));
  }

  private void ask(Caller caller) {
    boolean far = cut && caller.dataCentre.equals("c");
    DefaultSlotCoordinator asked = far ? cutOffCoordinator : coordinator;
    caller.asked = time.now();
    SlotKey key = new SlotKey("g", ++numbers);
    asking.put(key, caller);
    int left = LIMIT_MILLIS - (time.now() - caller.arrived);
    SlotRequest request =
        SlotRequest.builder(key, "s")
            .dataCentre(caller.dataCentre)
            .maxWait(MAX_WAIT)
            .patience(Duration.ofMillis(left - 300))
            .fingerprint(1 + callers.indexOf(caller))
            .workspace(new WorkspaceId("w" + caller.workspace))
            .charged(true)
            .size(new WorkSize(450, 2_000, caller.hint))
            .build();
    take(asked, asked.request(request, now()));
  }

  private void take(DefaultSlotCoordinator from, List<SlotAnswer> answers) {
    for (SlotAnswer answer : answers) {
      Caller caller = asking.get(answer.key());
      if (answer instanceof SlotAnswer.Granted) {
        caller.served = true;
        caller.onTime = time.now() - caller.asked <= MAX_WAIT.toMillis() + 20;
        SlotKey key = answer.key();
        time.at(
            time.now() + caller.use,
            () -> take(from, from.release(key, SlotOutcome.ANSWERED, now())));
      } else if (answer instanceof SlotAnswer.Refused refused && ++caller.refusals == 1) {
        int third = (LIMIT_MILLIS - (time.now() - caller.arrived)) / 3;
        int after = (int) Math.min(third, refused.retryAfter().toMillis());
        time.at(time.now() + (caller.hasty ? after / 2 : after) + 4, () -> ask(caller));
      }
    }
  }

  private Instant now() {
    return START.plusMillis(time.now());
  }

  /** Returns the share of some callers of which something is true. */
  double share(Predicate<Caller> of, Predicate<Caller> what) {
    List<Caller> chosen = callers.stream().filter(of).toList();
    return (double) chosen.stream().filter(what).count() / chosen.size();
  }

  double onTime() {
    return share(caller -> true, caller -> caller.onTime);
  }

  double served() {
    return share(caller -> true, caller -> caller.served);
  }

  double worstDataCentre() {
    return List.of("a", "b", "c").stream()
        .mapToDouble(at -> share(each -> each.dataCentre.equals(at), each -> each.onTime))
        .min()
        .orElseThrow();
  }

  /** Returns the share of the worst workspace besides the hot one. */
  double worstOther(Predicate<Caller> what) {
    double worst = 1;
    for (int i = 0; i < WORKSPACES; i++) {
      int workspace = i;
      double share = i == HOT ? 1 : share(each -> each.workspace == workspace, what);
      worst = Math.min(worst, share);
    }
    return worst;
  }

  double hot(Predicate<Caller> what) {
    return share(each -> each.workspace == HOT, what);
  }

  /** Returns the share of the largest tenth of the requests. */
  double largest(Predicate<Caller> what) {
    int bound =
        callers.stream()
            .mapToInt(each -> each.use)
            .sorted()
            .skip(9L * callers.size() / 10)
            .findFirst()
            .orElseThrow();
    return share(each -> each.use >= bound, what);
  }

  /** Returns the share of refused callers that were served in the end. */
  double retried(boolean hasty) {
    return share(each -> each.refusals > 0 && each.hasty == hasty, each -> each.served);
  }

  @Override
  public String toString() {
    return ("on time %.3f, first attempt %.3f, worst data centre %.3f, worst other workspace %.3f,"
            + " largest tenth %.3f, hot %.3f; served %.3f, worst other %.3f, largest %.3f,"
            + " hot %.3f; refused twice %.3f; served of refused: punctual %.3f, early %.3f")
        .formatted(
            onTime(),
            share(any -> true, each -> each.onTime && each.refusals == 0),
            worstDataCentre(),
            worstOther(each -> each.onTime),
            largest(each -> each.onTime),
            hot(each -> each.onTime),
            served(),
            worstOther(each -> each.served),
            largest(each -> each.served),
            hot(each -> each.served),
            share(any -> true, each -> each.refusals > 1),
            retried(false),
            retried(true));
  }
}
