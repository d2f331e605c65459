package io.hawthornlb.gateway.peer;

import io.hawthornlb.gateway.VirtualLoop;
import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.slot.RequestQuota;
import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import io.hawthornlb.gateway.slot.support.DefaultSlotCoordinator;
import io.hawthornlb.gateway.slot.support.SlotSettings;
import io.hawthornlb.gateway.stream.StreamId;
import io.hawthornlb.gateway.stream.StreamOrigin;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Replay of streams that callers resume while endpoints of three versions serve and are replaced.
 * All gateways see the same endpoints, and one coordinator places all requests.
 */
final class ResumedStreamsReplay {

  private static final String SERVICE = "engine";
  private static final int SLOTS = 8;
  private static final Duration RUN = Duration.ofMillis(400);
  private static final Duration FIRST_EVENT = Duration.ofMillis(60);
  private static final Duration MAX_WAIT = Duration.ofMillis(150);
  private static final Duration RESUMED_WAIT = Duration.ofMillis(600);

  /** Longest time after which the caller of a broken stream calls again. */
  private static final int RETURN_MILLIS = 100;

  private final VirtualLoop time = new VirtualLoop();
  private final Random random;
  private final OriginFleet fleet;
  private final int dataCentres;
  private final double streamsPerMilli;
  private final EndpointDirectory directory = new EndpointDirectory();
  private final DefaultSlotCoordinator coordinator =
      new DefaultSlotCoordinator(
          SERVICE, directory, SlotSettings.DEFAULT, RequestQuota.UNLIMITED, fingerprint -> {});
  private final Map<SlotKey, Consumer<SlotAnswer>> waiting = new HashMap<>();
  private final List<Stream> running = new ArrayList<>();
  private long numbers;
  private boolean cut;

  /** New streams, and those of them that began. */
  int offered;

  int begun;

  /** Streams resumed while two endpoints of their version served, and those that went on. */
  int resumed;

  int continued;

  /** Streams that went on at another version. */
  int mixed;

  /** A stream that an endpoint runs. */
  private record Stream(StreamId id, OriginFleet.Node holder, StreamOrigin origin, SlotKey slot) {}

  ResumedStreamsReplay(long seed, int instances, int dataCentres, int endpoints, double load) {
    this.random = new Random(seed);
    this.dataCentres = dataCentres;
    this.fleet = new OriginFleet(time, instances, dataCentres);
    this.streamsPerMilli = load * endpoints * SLOTS / RUN.toMillis();
    for (int i = 0; i < endpoints; i++) {
      offer(i, 0, "v" + i % 3);
    }
  }

  private void offer(int number, int release, String version) {
    directory.put(
        new EndpointRecord(
            "e" + number + "r" + release,
            SERVICE,
            new InetSocketAddress("127.0.0.1", 1),
            "d" + number % dataCentres,
            SLOTS,
            false,
            EndpointIncarnation.UNKNOWN,
            version));
  }

  /** Replaces endpoints of the first version by a new one, one each 400 ms. */
  void release(int endpoints) {
    for (int i = 0; i < endpoints; i++) {
      int number = 3 * i;
      Runnable replace =
          () -> {
            offer(number, 1, "v9");
            directory.withdraw("e" + number + "r0");
          };
      time.loop().schedule(replace, 400L * i, TimeUnit.MILLISECONDS);
    }
  }

  /** Kills a share of the instances, a whole data centre among them; they are back after 1 s. */
  void kill(double share) {
    int count = (int) Math.round(share * fleet.nodes.size());
    List<OriginFleet.Node> killed = new ArrayList<>();
    for (OriginFleet.Node each : fleet.alive()) {
      if (each.dataCentre.equals("d0")) {
        killed.add(each);
      }
    }
    List<OriginFleet.Node> others = new ArrayList<>(fleet.alive());
    others.removeAll(killed);
    while (killed.size() < count) {
      killed.add(others.remove(random.nextInt(others.size())));
    }
    killed.forEach(node -> node.down = true);
    Runnable back = () -> killed.forEach(node -> fleet.start(node.name, node.dataCentre));
    time.loop().schedule(back, 1, TimeUnit.SECONDS);
    breakOff(stream -> stream.holder().down);
  }

  /** Cuts a data centre off; a fifth of the streams elsewhere break. */
  void cut() {
    cut = true;
    fleet.reaches = (from, to) -> from.dataCentre.equals("d0") == to.dataCentre.equals("d0");
    breakOff(stream -> !stream.holder().dataCentre.equals("d0") && random.nextInt(5) == 0);
  }

  /** Loses a share of all datagrams. */
  void lose(double share) {
    fleet.reaches = (from, to) -> random.nextDouble() >= share;
  }

  /** Lets time pass, in which new streams begin. */
  void run(Duration span) {
    for (long at = 0; at < span.toMillis(); at++) {
      double due = streamsPerMilli;
      while (random.nextDouble() < due) {
        due--;
        begin();
      }
      time.advance(Duration.ofMillis(1));
      deliver(coordinator.tick(time.instant()));
    }
  }

  private void begin() {
    OriginFleet.Node holder = reachable();
    numbers++;
    StreamId id = StreamId.of(null, "attempt" + numbers);
    offered++;
    place(holder, MAX_WAIT, null, (slot, origin) -> onBegun(id, holder, slot, origin));
  }

  private void onBegun(StreamId id, OriginFleet.Node holder, SlotKey slot, StreamOrigin origin) {
    begun++;
    Stream stream = new Stream(id, holder, origin, slot);
    Runnable firstEvent =
        () -> {
          if (!holder.down) {
            holder.origins.began(id, origin);
            running.add(stream);
          }
        };
    time.loop().schedule(firstEvent, FIRST_EVENT.toMillis(), TimeUnit.MILLISECONDS);
    time.loop().schedule(() -> end(stream), RUN.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void end(Stream stream) {
    running.remove(stream);
    deliver(coordinator.release(stream.slot(), SlotOutcome.ANSWERED, time.instant()));
  }

  private void breakOff(Predicate<Stream> broken) {
    for (Stream stream : running.stream().filter(broken).toList()) {
      end(stream);
      int pause = random.nextInt(RETURN_MILLIS);
      time.loop().schedule(() -> resume(stream), pause, TimeUnit.MILLISECONDS);
    }
  }

  private void resume(Stream stream) {
    long endpoints =
        directory.usable(SERVICE).stream().filter(each -> stream.origin().matches(each)).count();
    if (endpoints < 2) {
      return;
    }
    resumed++;
    OriginFleet.Node next = reachable();
    next.origins.find(
        stream.id(),
        found ->
            found.ifPresent(
                known ->
                    place(
                        next,
                        RESUMED_WAIT,
                        known.version(),
                        (slot, at) -> onContinued(stream, next, slot, at))));
  }

  private void onContinued(Stream former, OriginFleet.Node at, SlotKey slot, StreamOrigin origin) {
    continued++;
    mixed += origin.equals(former.origin()) ? 0 : 1;
    Stream stream = new Stream(former.id(), at, origin, slot);
    time.loop().schedule(() -> end(stream), RUN.toMillis() / 2, TimeUnit.MILLISECONDS);
  }

  /** Receives the slot of a request and the version of its endpoint. */
  private interface Placed {

    void at(SlotKey slot, StreamOrigin origin);
  }

  private void place(
      OriginFleet.Node from, Duration maxWait, @Nullable String version, Placed placed) {
    numbers++;
    SlotKey key = new SlotKey(from.name, numbers);
    SlotRequest request =
        SlotRequest.builder(key, SERVICE)
            .dataCentre(from.dataCentre)
            .maxWait(maxWait)
            .fingerprint(numbers)
            .version(version)
            .build();
    waiting.put(
        key,
        answer -> {
          if (answer instanceof SlotAnswer.Granted granted) {
            String at = directory.find(granted.endpoint()).orElseThrow().version();
            placed.at(key, new StreamOrigin(SERVICE, at));
          }
        });
    deliver(coordinator.request(request, time.instant()));
  }

  private void deliver(List<SlotAnswer> answers) {
    for (SlotAnswer answer : answers) {
      if (!(answer instanceof SlotAnswer.Waiting)) {
        Consumer<SlotAnswer> receiver = waiting.remove(answer.key());
        if (receiver != null) {
          receiver.accept(answer);
        }
      }
    }
  }

  /** Returns an instance that callers reach; those of a data centre that is cut off do not call. */
  private OriginFleet.Node reachable() {
    List<OriginFleet.Node> candidates =
        fleet.alive().stream().filter(node -> !cut || !node.dataCentre.equals("d0")).toList();
    return candidates.get(random.nextInt(candidates.size()));
  }

  double shareContinued() {
    return (double) continued / resumed;
  }

  double shareBegun() {
    return (double) begun / offered;
  }

  /** Returns what was counted, in one line. */
  String figures() {
    return String.format(
        "%d of %d resumed streams went on (%.2f), %d of %d new ones began (%.2f),"
            + " %.1f datagrams a stream",
        continued,
        resumed,
        shareContinued(),
        begun,
        offered,
        shareBegun(),
        (double) fleet.datagrams / begun);
  }
}
