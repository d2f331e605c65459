package io.hawthornlb.standin.load.support;

import io.hawthornlb.standin.load.Action;
import io.hawthornlb.standin.support.WireJson;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Switches faults of stand-ins on and off and edits the catalogue, at the scheduled times. */
final class ScheduledActions {

  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  private final List<Action> actions;
  private final RunClock clock;
  private final PrintStream progress;
  private final HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
  private final CatalogueEditor catalogue = new CatalogueEditor(client);

  ScheduledActions(List<Action> actions, RunClock clock, PrintStream progress) {
    this.actions = actions.stream().sorted(Comparator.comparingLong(Action::atMillis)).toList();
    this.clock = clock;
    this.progress = progress;
  }

  /** Executes all actions in the order of their times; stops early if the thread is interrupted. */
  void run() {
    for (Action action : actions) {
      clock.sleepUntil(TimeUnit.MILLISECONDS.toNanos(action.atMillis()));
      if (Thread.currentThread().isInterrupted()) {
        return;
      }
      execute(action);
    }
  }

  private void execute(Action action) {
    String description = description(action) + " at " + action.address();
    try {
      int status =
          action.catalogue() == null
              ? switchFault(action)
              : catalogue.apply(action.address(), action.catalogue());
      progress.println("load: " + description + ", status " + status);
    } catch (IOException e) {
      progress.println("load: " + description + " failed: " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private int switchFault(Action action) throws IOException, InterruptedException {
    URI uri = URI.create("http://" + action.address() + "/standin/faults");
    HttpRequest.Builder request =
        HttpRequest.newBuilder(uri).timeout(TIMEOUT).header("Content-Type", "application/json");
    if (action.fault() == null) {
      request.DELETE();
    } else {
      request.POST(BodyPublishers.ofByteArray(WireJson.write(action.fault())));
    }
    return client.send(request.build(), BodyHandlers.discarding()).statusCode();
  }

  private static String description(Action action) {
    if (action.catalogue() != null) {
      return "catalogue without " + action.catalogue().without();
    }
    return action.fault() == null ? "all faults off" : String.valueOf(action.fault().kind());
  }
}
