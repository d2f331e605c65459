import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A fleet that has run for days is restarted; every process is back within the lease of its
 * group. Then batch jobs are accepted.
 *
 * <p>The days before cannot be played on the real clock. The store therefore begins with what it
 * holds of such a fleet: the members of the group, its generation, and the epoch that each holder
 * of a partition has used. That epoch is the one that the program forms at its start from the
 * generation and the time of day. Without the disruption the fleet was started an hour ago.
 */
final class LongUptime {

  private static final String SERVICE = "huvo11a";
  private static final String GROUP = "runners";
  private static final String TOPIC = "keyed.jobs";
  private static final String PRODUCER = "runner";
  private static final long GENERATION = 7;
  private static final long LEASE_MILLIS = 2_500;
  private static final int JOBS = 36;
  private static final double FINISH_SECONDS = 18;
  private static final double LONGER_SECONDS = 60;

  /** Tenths of a second after which the program's start epochs begin at zero again: 5.8 days. */
  private static final long CYCLE_TENTHS = 5_000_000;

  private static final long HOUR_TENTHS = 36_000;
  private static final long EPOCHS_PER_GENERATION = 10_000_000;

  private LongUptime() {}

  public static void main(String[] arguments) {
    Trial.run(arguments[0], LongUptime::run);
  }

  /** Returns the moment, in tenths of a second, at which the processes were started before. */
  private static long formerStart(long now) {
    long cycle = now - now % CYCLE_TENTHS;
    if (Trial.trouble()) {
      return cycle - HOUR_TENTHS;
    }
    return Math.max(cycle, now - HOUR_TENTHS);
  }

  private static boolean run(Trial trial) throws Exception {
    long now = System.currentTimeMillis() / 100;
    long former = formerStart(now);
    long epoch = GENERATION * EPOCHS_PER_GENERATION + former % CYCLE_TENTHS;
    if (now % CYCLE_TENTHS > CYCLE_TENTHS - 2 * HOUR_TENTHS) {
      throw new IllegalStateException("a cycle is about to end; run the case two hours later");
    }
    trial.log(String.format("fleet: processes were started %.1f hours ago; epoch of the partitions %d",
        (now - former) / (double) HOUR_TENTHS, epoch));
    String[] zones = {"lautoka-a", "nadi-b", "suva-c"};
    List<String> names = new ArrayList<>();
    for (String zone : zones) {
      names.add("front-" + zone + "-1");
    }
    Store store = trial.opened(new Store(trial));
    Set<String> reached = ConcurrentHashMap.newKeySet();
    Engine.Listener listener =
        new Engine.Listener() {
          @Override
          public void begun(Engine engine, HttpMessage request) {
            reached.add(request.header("X-Request-Id"));
          }
        };
    List<Engine> engines = new ArrayList<>();
    for (String zone : zones) {
      engines.add(
          new Engine(
              trial, store, SERVICE, zone, "v1", any -> Engine.Work.stream(36, 60, 20), listener));
    }
    new Desired(3)
        .streaming("/lohu930/", SERVICE, 2, 5_000)
        .batch(Lots.PREFIX, SERVICE, 15_000)
        .write(store);
    store.holds(GROUP, GENERATION, names, LEASE_MILLIS, TOPIC, PRODUCER, epoch);
    List<Gateway> gateways = new ArrayList<>();
    for (int number = 0; number < zones.length; number++) {
      gateways.add(new Gateway(trial, names.get(number), zones[number], store.port()));
    }
    for (Gateway each : gateways) {
      each.awaitReady();
    }
    Trial.sleep(5_000);

    Map<String, List<Lots.Item>> jobs = new LinkedHashMap<>();
    for (int number = 0; number < JOBS; number++) {
      List<Lots.Item> items = new ArrayList<>();
      for (int item = 0; item < 2; item++) {
        items.add(new Lots.Item(String.format("e5b2907c%04x%04x", number, item), 250));
      }
      jobs.put(String.format("7c41e09b%04x0000", number), items);
    }
    int sent = 0;
    for (Map.Entry<String, List<Lots.Item>> each : jobs.entrySet()) {
      if (Lots.submit(trial, gateways.get(sent % 3), each.getKey(), each.getValue()) != 202) {
        throw new IllegalStateException("a job was not accepted");
      }
      sent++;
      Trial.sleep(50);
    }
    double trafficEnd = trial.seconds();
    trial.log("client: traffic has ended");
    trial.sleepUntil(trafficEnd + FINISH_SECONDS);
    int unlisted = read(trial, gateways, jobs);
    trial.log("when FinishS is over: " + unlisted + " of " + 2 * JOBS + " items are not listed; "
        + reached.size() + " have reached an engine");
    int running = engines.stream().mapToInt(Engine::running).sum();
    trial.log("engines: " + running + " requests run");
    boolean held = unlisted == 0 || running > 0;
    if (!held) {
      trial.sleepUntil(LONGER_SECONDS);
      int later = read(trial, gateways, jobs);
      trial.log(String.format("%.0f s after the traffic: %d items are not listed; %d have reached"
          + " an engine", trial.seconds() - trafficEnd, later, reached.size()));
    }
    trial.log("store: generation " + store.generation(GROUP) + "; appends refused for an old epoch: "
        + store.refusedAsFenced());
    gateways.get(0).lines("partition.store.failed").stream().limit(2).forEach(trial::log);
    return held;
  }

  private static int read(Trial trial, List<Gateway> gateways, Map<String, List<Lots.Item>> jobs) {
    int unlisted = 0;
    int number = 0;
    for (Map.Entry<String, List<Lots.Item>> each : jobs.entrySet()) {
      Lots.Results results = Lots.read(gateways.get(number % 3), each.getKey());
      unlisted += each.getValue().size() - results.states().size();
      if (number < 3) {
        trial.log("client: GET /lots/" + each.getKey() + ": " + results.status() + ", Total "
            + results.total() + ", listed " + results.states());
      }
      number++;
    }
    return unlisted;
  }
}
