package io.hawthornlb.standin.support;

import io.hawthornlb.standin.fault.ActiveFaults;
import io.micronaut.context.ApplicationContext;
import io.micronaut.runtime.server.EmbeddedServer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The HTTP server of one stand-in. Several servers can run in one process, each with its own
 * application context.
 */
public final class StandinServer implements AutoCloseable {

  /** The property that holds the role of the stand-in; controllers are enabled by role. */
  public static final String ROLE_PROPERTY = "hawthornlb.role";

  /** The property that is set in stand-ins of every role. */
  public static final String STANDIN_PROPERTY = "hawthornlb.standin";

  private static final String HOST = "127.0.0.1";
  private static final String MAX_BODY = "64MB";

  private final ApplicationContext context;
  private final EmbeddedServer server;

  private StandinServer(ApplicationContext context, EmbeddedServer server) {
    this.context = context;
    this.server = server;
  }

  /**
   * Starts a server with the controllers of {@code role}. The given beans are available to the
   * controllers for injection by type.
   *
   * @param port the port, or 0 for any free port
   */
  public static StandinServer start(
      String role, int port, int threads, ActiveFaults faults, List<Object> beans) {
    ApplicationContext context =
        ApplicationContext.builder()
            .properties(properties(role, port, threads))
            .deduceEnvironment(false)
            .banner(false)
            .build();
    context.registerSingleton(faults);
    beans.forEach(context::registerSingleton);
    context.start();
    EmbeddedServer server = context.getBean(EmbeddedServer.class);
    server.start();
    return new StandinServer(context, server);
  }

  /** Returns the port on which the server listens. */
  public int port() {
    return server.getPort();
  }

  @Override
  public void close() {
    context.close();
  }

  private static Map<String, Object> properties(String role, int port, int threads) {
    Map<String, Object> properties = new HashMap<>();
    properties.put(ROLE_PROPERTY, role);
    properties.put(STANDIN_PROPERTY, "true");
    properties.put("micronaut.server.host", HOST);
    properties.put("micronaut.server.port", port == 0 ? -1 : port);
    properties.put("micronaut.server.max-request-size", MAX_BODY);
    properties.put("micronaut.netty.event-loops.default.num-threads", threads);
    return properties;
  }
}
