package io.hawthornlb.standin.platform;

import io.hawthornlb.standin.RunningStandin;
import io.hawthornlb.standin.fault.ActiveFaults;
import io.hawthornlb.standin.fault.FaultKind;
import io.hawthornlb.standin.platform.support.AppendLimit;
import io.hawthornlb.standin.platform.support.AppendWaiters;
import io.hawthornlb.standin.platform.support.InMemoryRecordLog;
import io.hawthornlb.standin.platform.support.InstanceDirectory;
import io.hawthornlb.standin.platform.support.WeightStore;
import io.hawthornlb.standin.support.ProcessExit;
import io.hawthornlb.standin.support.StandinServer;
import io.hawthornlb.standin.support.TokenBucket;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Starts stand-ins for the platform. */
public final class PlatformStandin {

  /** The value of {@link StandinServer#ROLE_PROPERTY} for platform stand-ins. */
  public static final String ROLE = "standin-platform";

  private static final long EXPIRY_CHECK_MILLIS = 250;

  private PlatformStandin() {}

  /** Starts a platform that halts the process when a request triggers a crash fault. */
  public static RunningStandin start(PlatformSettings settings) {
    return start(settings, ProcessExit::crash);
  }

  /** Starts a platform that calls {@code exit} when a request triggers a crash fault. */
  public static RunningStandin start(PlatformSettings settings, Runnable exit) {
    InstantSource clock = InstantSource.system();
    ActiveFaults faults = new ActiveFaults(clock, exit);
    InstanceDirectory directory =
        new InstanceDirectory(
            Duration.ofMillis(settings.instanceListLagMillis()),
            Duration.ofMillis(settings.instanceTtlMillis()),
            clock);
    StandinServer server =
        StandinServer.start(
            ROLE,
            settings.port(),
            settings.eventLoopThreads(),
            faults,
            List.of(
                new InMemoryRecordLog(
                    Duration.ofMillis(settings.retentionMillis()),
                    settings.retentionRecords(),
                    clock),
                new AppendLimit(
                    new TokenBucket(settings.appendsPerSecond(), settings.appendBurst(), clock)),
                new AppendWaiters(),
                directory,
                new WeightStore(
                    new TokenBucket(settings.weightsPerSecond(), settings.weightBurst(), clock),
                    settings.weightBytes())));
    ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    timer.scheduleAtFixedRate(
        () -> directory.expire(!faults.active(FaultKind.DOWN)),
        EXPIRY_CHECK_MILLIS,
        EXPIRY_CHECK_MILLIS,
        TimeUnit.MILLISECONDS);
    return new RunningPlatform(server, faults, timer);
  }

  private record RunningPlatform(
      StandinServer server, ActiveFaults faults, ScheduledExecutorService timer)
      implements RunningStandin {

    @Override
    public int port() {
      return server.port();
    }

    @Override
    public void leave() {
      faults.leave();
    }

    @Override
    public boolean awaitIdle(Duration limit) {
      return true;
    }

    @Override
    public void close() {
      timer.shutdownNow();
      server.close();
    }
  }
}
