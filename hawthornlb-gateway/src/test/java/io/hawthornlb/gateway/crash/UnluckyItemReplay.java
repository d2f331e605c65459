package io.hawthornlb.gateway.crash;

import io.hawthornlb.core.crash.CrashBlock;
import io.hawthornlb.core.crash.PromptParts;
import io.hawthornlb.core.crash.support.DefaultPartSuspicions;
import io.hawthornlb.gateway.VirtualLoop;
import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Replay of one sound item under which endpoints crash in bursts, and of requests with one of its
 * parts that do. The item runs as {@code ItemRun} does, at the instance that holds its job.
 */
final class UnluckyItemReplay {

  /** Longest pause of an item that is held back, and its pause after a failure. */
  private static final Duration LONGEST_PAUSE = Duration.ofSeconds(2);

  private static final Duration PAUSE = Duration.ofMillis(100);
  private static final int READ_MILLIS = 80;
  private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 1);
  private static final PromptParts ITEM =
      PromptParts.ofPrompt(List.of("first", "second", "own")).withContent(1);

  final VirtualLoop time = new VirtualLoop();
  final CrashFleet fleet;
  private final Random random;
  private CrashFleet.Node holder;
  private int crashes;
  private int holding;

  /** Whether each endpoint that gets the item crashes. */
  boolean burst;

  /** Whether no endpoint accepts a connection. */
  boolean unreachable;

  /** Number of runs of the item. */
  int sent;

  /** When the answer to the item began; null until then. */
  Instant begun;

  UnluckyItemReplay(long seed) {
    random = new Random(seed);
    fleet =
        new CrashFleet(
            time,
            (address, receiver) ->
                time.loop().schedule(() -> receiver.onChecked(true), 1, TimeUnit.MILLISECONDS),
            DefaultPartSuspicions::new);
    fleet.startAll(4, 4);
    time.advance(Duration.ofMillis(50));
    hold();
  }

  /** Lets another instance hold the job. */
  void hold() {
    List<CrashFleet.Node> alive = fleet.alive();
    holder = alive.get(random.nextInt(alive.size()));
    holding++;
    CrashGuard guard = holder.items;
    attempt(new GuardedRun(guard, "i1", ITEM), holding);
  }

  /** Restarts all instances, which lose their memory; one of them then holds the job. */
  void restartAll() {
    holding++;
    fleet.alive().forEach(fleet::restart);
    time.advance(Duration.ofMillis(200));
    hold();
  }

  /** Lets an endpoint crash on a request of a caller with some parts. */
  void crashOnRequest(String... parts) {
    GuardedRun run = new GuardedRun(holder.guard, "r", new PromptParts(java.util.Set.of(parts)));
    if (run.check().isEmpty() && run.admit().isEmpty()) {
      run.sentTo(endpoint(), ADDRESS);
      run.broken();
    }
  }

  private EndpointIncarnation endpoint() {
    return new EndpointIncarnation("e" + random.nextInt(13), crashes++);
  }

  private void attempt(GuardedRun run, int held) {
    if (held != holding || begun != null) {
      return;
    }
    Optional<CrashBlock> block = run.check().or(run::admit);
    if (block.isPresent()) {
      Duration pause = block.get().retryAfter();
      again(run, held, pause.compareTo(LONGEST_PAUSE) < 0 ? pause : LONGEST_PAUSE);
      return;
    }
    run.sentTo(endpoint(), ADDRESS);
    if (unreachable) {
      again(run, held, PAUSE);
      return;
    }
    sent++;
    int millis = READ_MILLIS + random.nextInt(READ_MILLIS);
    time.loop().schedule(() -> read(run, held), millis, TimeUnit.MILLISECONDS);
  }

  private void read(GuardedRun run, int held) {
    if (held != holding) {
      return;
    }
    if (burst) {
      run.broken();
      again(run, held, PAUSE);
    } else {
      run.begun();
      begun = time.instant();
    }
  }

  private void again(GuardedRun run, int held, Duration pause) {
    time.loop().schedule(() -> attempt(run, held), pause.toMillis(), TimeUnit.MILLISECONDS);
  }
}
