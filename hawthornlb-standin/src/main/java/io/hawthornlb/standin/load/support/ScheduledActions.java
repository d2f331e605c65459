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

/** Switches faults of stand-ins on and off at the scheduled times. */
final class FaultActions {

  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  private final List<Action> actions;
  private final RunClock clock;
  private final PrintStream progress;
  private final HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();

  FaultActions(List<Action> actions, RunClock clock, PrintStream progress) {
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
    URI uri = URI.create("http://" + action.address() + "/standin/faults");
    HttpRequest.Builder request =
        HttpRequest.newBuilder(uri).timeout(TIMEOUT).header("Content-Type", "application/json");
    if (action.fault() == null) {
      request.DELETE();
    } else {
      request.POST(BodyPublishers.ofByteArray(WireJson.write(action.fault())));
    }
    String description =
        action.fault() == null ? "all faults off" : String.valueOf(action.fault().kind());
    try {
      int status = client.send(request.build(), BodyHandlers.discarding()).statusCode();
      progress.println("load: " + description + " at " + action.address() + ", status " + status);
    } catch (IOException e) {
      progress.println("load: " + description + " at " + action.address() + " failed: " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
