package io.hawthornlb.standin.service;

import io.hawthornlb.standin.RunningStandin;
import io.hawthornlb.standin.fault.ActiveFaults;
import io.hawthornlb.standin.service.support.EchoService;
import io.hawthornlb.standin.support.Announcer;
import io.hawthornlb.standin.support.ProcessExit;
import io.hawthornlb.standin.support.RunningEndpoint;
import io.hawthornlb.standin.support.StandinIdentity;
import io.hawthornlb.standin.support.StandinServer;
import java.time.InstantSource;
import java.util.List;

/** Starts stand-ins for plain HTTP services. */
public final class ServiceStandin {

  /** The value of {@link StandinServer#ROLE_PROPERTY} for service stand-ins. */
  public static final String ROLE = "standin-service";

  private ServiceStandin() {}

  /** Starts a service that halts the process when a request triggers a crash fault. */
  public static RunningStandin start(ServiceSettings settings) {
    return start(settings, ProcessExit::crash);
  }

  /** Starts a service that calls {@code exit} when a request triggers a crash fault. */
  public static RunningStandin start(ServiceSettings settings, Runnable exit) {
    StandinIdentity identity = settings.identity();
    ActiveFaults faults = new ActiveFaults(InstantSource.system(), exit);
    CallCounter counter = new CallCounter(settings.maxKeys());
    EchoService echo = new EchoService(settings, counter);
    StandinServer server =
        StandinServer.start(
            ROLE, identity.port(), identity.eventLoopThreads(), faults, List.of(counter, echo));
    Announcer announcer = Announcer.start(identity, server.port(), faults);
    return new RunningEndpoint(server, faults, announcer, echo::running, () -> {});
  }
}
