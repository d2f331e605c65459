package io.hawthornlb.standin.engine;

import io.hawthornlb.standin.RunningStandin;
import io.hawthornlb.standin.engine.support.EngineEmulator;
import io.hawthornlb.standin.fault.ActiveFaults;
import io.hawthornlb.standin.support.Announcer;
import io.hawthornlb.standin.support.ProcessExit;
import io.hawthornlb.standin.support.RunningEndpoint;
import io.hawthornlb.standin.support.StandinIdentity;
import io.hawthornlb.standin.support.StandinServer;
import java.time.InstantSource;
import java.util.List;

/** Starts stand-ins for model engines. */
public final class EngineStandin {

  /** The value of {@link StandinServer#ROLE_PROPERTY} for engine stand-ins. */
  public static final String ROLE = "standin-engine";

  private EngineStandin() {}

  /** Starts an engine that halts the process when a request triggers a crash fault. */
  public static RunningStandin start(EngineSettings settings) {
    return start(settings, ProcessExit::crash);
  }

  /** Starts an engine that calls {@code exit} when a request triggers a crash fault. */
  public static RunningStandin start(EngineSettings settings, Runnable exit) {
    StandinIdentity identity = settings.identity();
    ActiveFaults faults = new ActiveFaults(InstantSource.system(), exit);
    EngineEmulator engine = new EngineEmulator(settings, faults, InstantSource.system());
    StandinServer server =
        StandinServer.start(
            ROLE, identity.port(), identity.eventLoopThreads(), faults, List.of(engine));
    Announcer announcer = Announcer.start(identity, server.port(), faults);
    return new RunningEndpoint(server, faults, announcer, engine::inProgress, engine::close);
  }
}
