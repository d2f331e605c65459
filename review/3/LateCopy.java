package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * An engine ends the first run of an item with 500, and sends that answer a second time, late, on
 * the same channel. The item's second run ends with 500 as well; its third would succeed. The route
 * allows three attempts, so the item may be given up after three answers of 500 only.
 */
public final class LateCopy {

  private static final int MAX_ATTEMPTS = 3;
  private static final int EVENTS = 10;
  private static final int PLAIN_JOBS = 12;
  private static final int PLAIN_ITEMS = 50;
  private static final int ROUNDS = 3;

  /** Answers of an engine for each copy that it sends: three in a hundred. */
  private static final int ANSWERS_PER_COPY = 34;


  private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final Record record;
  private final Map<String, Integer> runs = new HashMap<>();
  private final Map<String, Integer> failures = new HashMap<>();
  private final Set<String> copied = new HashSet<>();
  private final Map<String, Integer> answers = new HashMap<>();
  private final Map<String, Integer> copies = new HashMap<>();

  private LateCopy(Record record) {
    this.record = record;
  }

  public static void main(String[] arguments) {
    Case.run("3", record -> new LateCopy(record).play());
  }

  private int play() throws IOException, InterruptedException {
    Store store = new Store(12, 262_144, 2_097_152);
    try (Fleet fleet = new Fleet(store)) {
      fleet.configure(1);
      for (String zone : List.of("lautoka-a", "nadi-b")) {
        for (int number = 1; number <= 2; number++) {
          new Engine(store, "i-" + zone + "-" + number, "huvo11a", zone, 8, this::run);
        }
      }
      List<Gateway> gateways =
          List.of(
              fleet.start("front-lautoka-a-1", "lautoka-a"),
              fleet.start("front-nadi-b-1", "nadi-b"));
      if (!Fleet.awaitReady(gateways, 30)) {
        record.line("the gateways did not become ready");
        return Case.NOT_RUN;
      }
      Thread.sleep(3_000);
      for (int round = 1; round <= ROUNDS; round++) {
        if (round == 1 && !runPlainJobs(gateways)) {
          return Case.NOT_RUN;
        }
        String failing = String.format("f%d00000000000001", round);
        String job = String.format("c%d00000000000001", round);
        List<Client.Result> listed = lists(gateways, job, List.of(failing));
        if (listed == null) {
          return Case.NOT_RUN;
        }
        Client.Result result = listed.get(0);
        int answers = failuresOf(failing);
        if (result.state().equals("dead_letter") && answers < MAX_ATTEMPTS) {
          record.line("BROKEN: %s is dead_letter after %d answers of 500", failing, answers);
          return Case.BROKEN;
        }
      }
      return Case.HELD;
    }
  }

  /** Runs jobs without a fault, so that the copies stay a small share of each engine's answers. */
  private boolean runPlainJobs(List<Gateway> gateways) throws InterruptedException {
    for (int job = 0; job < PLAIN_JOBS; job++) {
      List<String> items = new ArrayList<>();
      for (int item = 0; item < PLAIN_ITEMS; item++) {
        items.add(String.format("a%02d%013d", job, item));
      }
      if (lists(gateways, String.format("b%015d", job), items) == null) {
        return false;
      }
    }
    record.line("engines: answers so far %s", answers);
    return true;
  }

  /** Submits a job and reads its results; null if it cannot be submitted or read. */
  private List<Client.Result> lists(List<Gateway> gateways, String job, List<String> items)
      throws InterruptedException {
    int status = Client.submit(gateways.get(0), job, Fleet.PATH, items);
    record.line("client: job %s with %d items, answer %d", job, items.size(), status);
    List<Client.Result> listed = new ArrayList<>();
    for (int tries = 0; status == 202 && listed.size() < items.size() && tries < 40; tries++) {
      Client.Page page = Client.read(gateways.get(tries % gateways.size()), job, listed.size());
      listed.addAll(page.results());
      for (Client.Result each : page.results()) {
        record.line("client: job %s lists %s as %s", job, each.id(), each.state());
      }
      Thread.sleep(250);
    }
    return listed.size() == items.size() ? listed : null;
  }

  private synchronized int failuresOf(String item) {
    return failures.getOrDefault(item, 0);
  }

  private void run(Engine.Request request, Engine.Channel channel)
      throws IOException, InterruptedException {
    int number;
    synchronized (this) {
      number = runs.merge(request.id(), 1, Integer::sum);
    }
    record.line("%s: run %d of %s begins", request.engine(), number, request.id());
    Thread.sleep(30);
    if (request.id().startsWith("f") && number < MAX_ATTEMPTS) {
      byte[] answer = channel.status(request, 500, "X-Response-Signature: s\r\n");
      synchronized (this) {
        failures.merge(request.id(), 1, Integer::sum);
        answers.merge(request.engine(), 1, Integer::sum);
        record.line("%s: run %d of %s answered 500", request.engine(), number, request.id());
        int given = answers.getOrDefault(request.engine(), 0);
        int sent = copies.getOrDefault(request.engine(), 0);
        boolean within = given >= ANSWERS_PER_COPY * (sent + 1);
        if (trouble && within && copied.add(request.id())) {
          copies.merge(request.engine(), 1, Integer::sum);
          channel.sendLate(answer);
          record.line("%s: will send this answer a second time, late", request.engine());
        }
      }
      return;
    }
    channel.stream(request);
    for (int event = request.firstEvent(); event <= EVENTS; event++) {
      Thread.sleep(15);
      channel.event(event, request.id() + ":" + event);
    }
    channel.end();
    synchronized (this) {
      answers.merge(request.engine(), 1, Integer::sum);
      record.line("%s: run %d of %s complete", request.engine(), number, request.id());
    }
  }
}
