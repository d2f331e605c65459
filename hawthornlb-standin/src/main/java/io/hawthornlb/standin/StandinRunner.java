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

/** Runs one stand-in as a separate process. */
public final class StandinRunner {

  private static final Logger LOG = System.getLogger(StandinRunner.class.getName());
  private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(10);

  private StandinRunner() {}

  /**
   * Starts a stand-in and waits until the process is terminated.
   *
   * <p>On SIGTERM the stand-in marks itself as leaving, waits at most 10 seconds for the requests
   * in progress and stops.
   *
   * @param kind {@code platform}, {@code engine} or {@code service}
   * @param settings the YAML file with the settings
   * @throws io.hawthornlb.standin.support.InvalidSettingsException if the file is invalid
   * @throws IllegalArgumentException if the kind is unknown
   */
  public static void run(String kind, Path settings) {
    RunningStandin standin = start(kind, settings);
    CountDownLatch stopped = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  stop(standin);
                  stopped.countDown();
                },
                "standin-stop"));
    LOG.log(Level.INFO, "standin: {0} listens on {1}", kind, standin.address());
    awaitStop(stopped);
  }

  /**
   * Starts a stand-in with the settings of a file.
   *
   * @throws io.hawthornlb.standin.support.InvalidSettingsException if the file is invalid
   * @throws IllegalArgumentException if the kind is unknown
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
    if (!standin.awaitIdle(DRAIN_TIMEOUT)) {
      LOG.log(Level.WARNING, "standin: requests in progress were aborted after the drain timeout");
    }
    standin.close();
  }

  private static void awaitStop(CountDownLatch stopped) {
    try {
      stopped.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
