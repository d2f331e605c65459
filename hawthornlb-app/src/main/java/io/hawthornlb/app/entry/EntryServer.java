package io.hawthornlb.app.entry;

import io.hawthornlb.app.dispatch.ChatService;
import io.hawthornlb.app.dispatch.PlainService;
import io.hawthornlb.app.http.CatalogueSource;
import io.hawthornlb.app.http.ReadinessSource;
import io.hawthornlb.app.settings.HttpSettings;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.micronaut.context.ApplicationContext;
import io.micronaut.runtime.server.EmbeddedServer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The HTTP server for callers and operators. */
public final class EntryServer implements AutoCloseable {

  private static final int EVENT_LOOP_THREADS = 2;
  private static final long MAX_STREAMED_BYTES = 1L << 30;

  private final ApplicationContext context;
  private final EmbeddedServer server;

  private EntryServer(ApplicationContext context) {
    this.context = context;
    this.server = context.getBean(EmbeddedServer.class);
  }

  /** Starts a server with the services that its controllers use. */
  public static EntryServer start(HttpSettings settings, Services services) {
    ApplicationContext context =
        ApplicationContext.builder()
            .deduceEnvironment(false)
            .banner(false)
            .properties(properties(settings))
            .singletons(services.all())
            .start();
    EntryServer started = new EntryServer(context);
    started.server.start();
    return started;
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return server.getPort();
  }

  @Override
  public void close() {
    context.close();
  }

  private static Map<String, Object> properties(HttpSettings settings) {
    Map<String, Object> properties = new HashMap<>();
    properties.put("hawthornlb.role", "entry");
    properties.put("micronaut.server.host", settings.address().host());
    properties.put(
        "micronaut.server.port", settings.address().port() == 0 ? -1 : settings.address().port());
    properties.put("micronaut.server.max-request-size", MAX_STREAMED_BYTES);
    properties.put("micronaut.server.max-request-buffer-size", settings.bodyLimit());
    properties.put("micronaut.server.idle-timeout", "10m");
    properties.put("micronaut.server.netty.keep-alive-on-server-error", false);
    properties.put("micronaut.netty.event-loops.default.num-threads", EVENT_LOOP_THREADS);
    properties.put("jackson.serialization-inclusion", "ALWAYS");
    return properties;
  }

  /**
   * The services that the controllers use.
   *
   * @param chat serves chat completions
   * @param plain serves calls to plain services
   * @param catalogue provides the current catalogue
   * @param readiness reports whether the instance is ready for requests
   * @param meters the registry of all metrics
   * @param further the beans of other controllers
   */
  public record Services(
      ChatService chat,
      PlainService plain,
      CatalogueSource catalogue,
      ReadinessSource readiness,
      PrometheusMeterRegistry meters,
      List<Object> further) {

    /** Copies the list of further beans. */
    public Services {
      further = List.copyOf(further);
    }

    private Object[] all() {
      List<Object> beans = new ArrayList<>(List.of(chat, plain, catalogue, readiness, meters));
      beans.addAll(further);
      return beans.toArray();
    }
  }
}
