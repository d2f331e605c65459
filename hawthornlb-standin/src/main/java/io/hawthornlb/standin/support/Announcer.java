package io.hawthornlb.standin.support;

import io.hawthornlb.standin.fault.ActiveFaults;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Announces an endpoint to the platform at regular intervals, and withdraws the announcement when
 * closed.
 */
public final class Announcer implements AutoCloseable {

  private static final Logger LOG = System.getLogger(Announcer.class.getName());
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

  private final StandinIdentity identity;
  private final int port;
  private final ActiveFaults faults;
  private final HttpClient client = HttpClient.newBuilder().connectTimeout(CALL_TIMEOUT).build();
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private boolean failed;

  private Announcer(StandinIdentity identity, int port, ActiveFaults faults) {
    this.identity = identity;
    this.port = port;
    this.faults = faults;
  }

  /** Starts the announcements; sends none if the identity names no platform. */
  public static Announcer start(StandinIdentity identity, int port, ActiveFaults faults) {
    Announcer announcer = new Announcer(identity, port, faults);
    if (!identity.platform().isBlank()) {
      announcer.timer.scheduleWithFixedDelay(
          announcer::announce, 0, identity.announceMillis(), TimeUnit.MILLISECONDS);
    }
    return announcer;
  }

  /** Announces the current state at once. */
  public void announceNow() {
    if (!identity.platform().isBlank()) {
      timer.execute(this::announce);
    }
  }

  /** Stops the announcements and withdraws the last one. */
  @Override
  public void close() {
    timer.shutdownNow();
    if (!identity.platform().isBlank()) {
      call(HttpRequest.newBuilder(uri()).DELETE());
    }
  }

  private void announce() {
    String state = faults.leaving() ? Announcement.LEAVING : Announcement.LIVE;
    Announcement announcement =
        new Announcement(
            identity.id(),
            Announcement.ENDPOINT,
            identity.service(),
            identity.dataCentre(),
            "127.0.0.1:" + port,
            state);
    byte[] body = WireJson.write(announcement);
    call(HttpRequest.newBuilder(uri()).PUT(BodyPublishers.ofByteArray(body)));
  }

  private void call(HttpRequest.Builder request) {
    try {
      client.send(
          request.timeout(CALL_TIMEOUT).header("Content-Type", "application/json").build(),
          BodyHandlers.discarding());
      failed = false;
    } catch (IOException e) {
      logFirstFailure(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void logFirstFailure(IOException cause) {
    if (!failed) {
      LOG.log(
          Level.WARNING,
          "standin: announcement failed, the platform is not reachable; will retry: {0}",
          cause);
    }
    failed = true;
  }

  private URI uri() {
    return URI.create("http://" + identity.platform() + "/instances/" + identity.id());
  }
}
