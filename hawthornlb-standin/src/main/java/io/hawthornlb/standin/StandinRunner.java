package io.hawthornlb.standin;

import io.hawthornlb.standin.engine.EngineSettings;
import io.hawthornlb.standin.engine.EngineStandin;
import io.hawthornlb.standin.platform.PlatformSettings;
import io.hawthornlb.standin.platform.PlatformStandin;
import io.hawthornlb.standin.service.ServiceSettings;
import io.hawthornlb.standin.service.ServiceStandin;
import io.hawthornlb.standin.support.SettingsReader;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;

/** Runs one stand-in as a process of its own. */
public final class StandinRunner {

  private static final Logger LOG = System.getLogger(StandinRunner.class.getName());
  private static final Duration DRAIN_LIMIT = Duration.ofSeconds(10);

  private StandinRunner() {}

  /**
   * Starts a stand-in and returns when the process is told to end.
   *
   * <p>On SIGTERM it marks itself as leaving, ends the requests in progress and stops.
   *
   * @param kind {@code platform}, {@code engine} or {@code service}
   * @param settings the YAML file
   * @throws io.hawthornlb.standin.support.InvalidSettingsException if the file holds a fault
   * @throws IllegalArgumentException if there is no such kind
   */
  public static void run(String kind, Path settings) {
    RunningStandin standin = start(kind, settings);
    CountDownLatch end = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  stop(standin);
                  end.countDown();
                },
                "standin-stop"));
    LOG.log(Level.INFO, "standin: {0} listens on {1}", kind, standin.address());
    awaitEnd(end);
  }

  /**
   * Starts a stand-in from its settings.
   *
   * @throws io.hawthornlb.standin.support.InvalidSettingsException if the file holds a fault
   * @throws IllegalArgumentException if there is no such kind
   */
  public static RunningStandin start(String kind, Path settings) {
    return switch (kind) {
      case "platform" ->
          PlatformStandin.start(SettingsReader.read(settings, PlatformSettings.class));
      case "engine" -> EngineStandin.start(SettingsReader.read(settings, EngineSettings.class));
      case "service" -> ServiceStandin.start(SettingsReader.read(settings, ServiceSettings.class));
      default ->
          throw new IllegalArgumentException(
              "kind must be platform, engine or service, was " + kind);
    };
  }

  private static void stop(RunningStandin standin) {
    standin.leave();
    if (!standin.awaitIdle(DRAIN_LIMIT)) {
      LOG.log(Level.WARNING, "standin: requests in progress were cut");
    }
    standin.close();
  }

  private static void awaitEnd(CountDownLatch end) {
    try {
      end.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
