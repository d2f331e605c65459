package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * A desired state removes the route of batch jobs; the host keeps another route. A job that was done
 * before, and one that still runs, must stay readable: a 404 says that there is no such job.
 */
public final class RouteEnds {

  private static final int DONE_ITEMS = 10;
  private static final int OPEN_ITEMS = 20;
  private static final int EVENTS = 10;
  private static final int OPEN_EVENT_MILLIS = 1_500;
  private static final int EVENT_MILLIS = 15;
  private static final long STABLE_WINDOW_MILLIS = 3_000;
  private static final long CONFIG_APPLY_MILLIS = 2_000;
  private static final long FINISH_MILLIS = 18_000;

  private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final Record record;

  private RouteEnds(Record record) {
    this.record = record;
  }

  public static void main(String[] arguments) {
    Case.run("2", record -> new RouteEnds(record).play());
  }

  private int play() throws IOException, InterruptedException {
    Store store = new Store(12, 262_144, 2_097_152);
    try (Fleet fleet = new Fleet(store)) {
      fleet.configure(1);
      List<Gateway> gateways = new ArrayList<>();
      for (String zone : List.of("lautoka-a", "nadi-b")) {
        for (int number = 1; number <= 2; number++) {
          new Engine(store, "i-" + zone + "-" + number, "huvo11a", zone, 8, this::run);
        }
        gateways.add(fleet.start("front-" + zone + "-1", zone));
      }
      if (!Fleet.awaitReady(gateways, 30)) {
        record.line("the gateways did not become ready");
        return Case.NOT_RUN;
      }
      Thread.sleep(STABLE_WINDOW_MILLIS);
      String done = submit(gateways.get(0), "c000000000000001", "d", DONE_ITEMS);
      if (done.isEmpty() || !finishes(gateways, done)) {
        return Case.NOT_RUN;
      }
      String open = submit(gateways.get(1), "c000000000000002", "o", OPEN_ITEMS);
      if (open.isEmpty()) {
        return Case.NOT_RUN;
      }
      Thread.sleep(STABLE_WINDOW_MILLIS);
      if (trouble) {
        fleet.removeBatchRoute(2);
      } else {
        fleet.configure(2);
      }
      record.line("operator: version 2 is acknowledged, batch route removed %b", trouble);
      Thread.sleep(CONFIG_APPLY_MILLIS + STABLE_WINDOW_MILLIS);
      return readsUntilFinish(gateways, List.of(done, open));
    }
  }

  private String submit(Gateway at, String job, String prefix, int count) {
    List<String> items = new ArrayList<>();
    for (int item = 0; item < count; item++) {
      items.add(String.format("%s%015d", prefix, item));
    }
    int status = Client.submit(at, job, Fleet.PATH, items);
    record.line("client: job %s with %d items, answer %d", job, count, status);
    return status == 202 ? job : "";
  }

  /** Waits until a job is done; returns whether it is listed in full at each gateway. */
  private boolean finishes(List<Gateway> gateways, String job) throws InterruptedException {
    for (Gateway gateway : gateways) {
      int listed = 0;
      for (int tries = 0; listed < DONE_ITEMS && tries < 40; tries++) {
        listed += Client.read(gateway, job, listed).results().size();
        Thread.sleep(200);
      }
      record.line("client: job %s at %s: %d listed", job, gateway.name(), listed);
      if (listed < DONE_ITEMS) {
        return false;
      }
    }
    return true;
  }

  /** Reads the jobs from the start until FinishS is over. */
  private int readsUntilFinish(List<Gateway> gateways, List<String> jobs)
      throws InterruptedException {
    int missing = 0;
    int answered = 0;
    int reads = 0;
    long end = System.nanoTime() + FINISH_MILLIS * 1_000_000;
    while (System.nanoTime() < end) {
      for (Gateway gateway : gateways) {
        for (String job : jobs) {
          Client.Page page = Client.read(gateway, job, 0);
          reads++;
          missing += page.status() == 404 || page.status() == 410 ? 1 : 0;
          answered += page.status() == 200 ? 1 : 0;
          record.line(
              "client: read of %s at %s: status %d, %d listed, of them %d dead_letter",
              job,
              gateway.name(),
              page.status(),
              page.results().size(),
              page.results().stream().filter(each -> each.state().equals("dead_letter")).count());
        }
      }
      Thread.sleep(1_000);
    }
    if (missing > 0) {
      record.line("BROKEN: %d of %d reads of accepted jobs got a 404", missing, reads);
      return Case.BROKEN;
    }
    // Where reads are refused or fail, this script does not tell whether the jobs are kept.
    return answered == reads ? Case.HELD : Case.NOT_RUN;
  }

  private void run(Engine.Request request, Engine.Channel channel)
      throws IOException, InterruptedException {
    record.line(
        "%s: a run of %s begins at event %d", request.engine(), request.id(), request.firstEvent());
    channel.stream(request);
    for (int event = request.firstEvent(); event <= EVENTS; event++) {
      Thread.sleep(request.id().startsWith("o") ? OPEN_EVENT_MILLIS : EVENT_MILLIS);
      channel.event(event, request.id() + ":" + event);
    }
    channel.end();
    record.line("%s: the run of %s is complete", request.engine(), request.id());
  }
}
