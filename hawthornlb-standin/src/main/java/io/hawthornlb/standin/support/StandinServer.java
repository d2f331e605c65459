package io.hawthornlb.standin.support;

import io.hawthornlb.standin.fault.FaultBoard;
import io.micronaut.context.ApplicationContext;
import io.micronaut.runtime.server.EmbeddedServer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The HTTP server of one stand-in; several run in one process without seeing each other. */
public final class StandinServer implements AutoCloseable {

  /** Names the kind of process that a controller belongs to. */
  public static final String ROLE_PROPERTY = "hawthornlb.role";

  /** Present in every stand-in, whatever its kind. */
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
   * Starts a server whose controllers of {@code role} get the given objects by their type.
   *
   * @param port the port, or 0 for any free one
   */
  public static StandinServer start(
      String role, int port, int threads, FaultBoard faults, List<Object> beans) {
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

  /** Returns the port it listens on. */
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
