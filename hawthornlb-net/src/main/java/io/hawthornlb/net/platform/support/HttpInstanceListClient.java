package io.hawthornlb.net.platform.support;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hawthornlb.core.membership.ListedKind;
import io.hawthornlb.core.membership.ListedProcess;
import io.hawthornlb.core.membership.ListedState;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.net.platform.InstanceList;
import io.hawthornlb.net.platform.InstanceListClient;
import io.hawthornlb.net.platform.PlatformUnavailableException;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import java.net.URI;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.jspecify.annotations.Nullable;

/** HTTP client of the platform's instance list. */
public final class HttpInstanceListClient implements InstanceListClient, AutoCloseable {

  private static final int FIRST_ERROR_STATUS = 300;
  private static final int STATUS_NOT_FOUND = 404;

  private final PlatformTimeouts timeouts;
  private final PlatformHttp http;

  /** Creates a client with the default timeouts. */
  public HttpInstanceListClient(URI platform) {
    this(platform, PlatformTimeouts.DEFAULT);
  }

  /** Creates a client. */
  public HttpInstanceListClient(URI platform, PlatformTimeouts timeouts) {
    this.timeouts = timeouts;
    this.http = new PlatformHttp(platform, timeouts.connect(), timeouts.call());
  }

  @Override
  public CompletionStage<InstanceList> list() {
    return exchange(HttpRequest.GET("/instances"))
        .thenApply(response -> readList(PlatformHttp.json(requireSuccess(response))));
  }

  @Override
  public CompletionStage<Void> announce(ListedProcess process) {
    HttpRequest<String> request =
        PlatformHttp.withJson(HttpRequest.PUT(path(process.id()), ""), write(process));
    return exchange(request).thenAccept(HttpInstanceListClient::requireSuccess);
  }

  @Override
  public CompletionStage<Void> withdraw(String id) {
    return exchange(HttpRequest.DELETE(path(id)))
        .thenAccept(
            response -> {
              if (response.code() != STATUS_NOT_FOUND) {
                requireSuccess(response);
              }
            });
  }

  @Override
  public void close() {
    http.close();
  }

  private CompletionStage<HttpResponse<byte[]>> exchange(HttpRequest<?> request) {
    return http.exchange(request, timeouts.call())
        .handle((response, failure) -> requireResponse(response, failure));
  }

  private static HttpResponse<byte[]> requireResponse(
      @Nullable HttpResponse<byte[]> response, @Nullable Throwable failure) {
    if (response == null) {
      throw new PlatformUnavailableException("the instance list did not respond", failure);
    }
    return response;
  }

  private static HttpResponse<byte[]> requireSuccess(HttpResponse<byte[]> response) {
    if (response.code() >= FIRST_ERROR_STATUS) {
      throw new PlatformUnavailableException(
          "the instance list responded with status " + response.code(), null);
    }
    return response;
  }

  private static String path(String id) {
    return "/instances/" + id;
  }

  private static InstanceList readList(JsonNode json) {
    try {
      List<ListedProcess> processes = new ArrayList<>();
      for (JsonNode item : json.required("instances")) {
        processes.add(read(item));
      }
      return new InstanceList(Instant.parse(json.required("asOf").asText()), processes);
    } catch (RuntimeException e) {
      throw new PlatformUnavailableException("the instance list is malformed", e);
    }
  }

  private static ListedProcess read(JsonNode item) {
    Optional<ServiceName> service =
        Optional.ofNullable(item.path("service").textValue()).map(ServiceName::new);
    return new ListedProcess(
        item.required("id").asText(),
        ListedKind.valueOf(constant(item, "kind")),
        service,
        new DataCentre(item.required("dataCentre").asText()),
        item.required("address").asText(),
        ListedState.valueOf(constant(item, "state")));
  }

  private static String constant(JsonNode item, String member) {
    return item.required(member).asText().toUpperCase(Locale.ROOT);
  }

  private static ObjectNode write(ListedProcess process) {
    ObjectNode item = PlatformHttp.MAPPER.createObjectNode();
    item.put("id", process.id());
    item.put("kind", process.kind().name().toLowerCase(Locale.ROOT));
    process.service().ifPresent(service -> item.put("service", service.value()));
    item.put("dataCentre", process.dataCentre().value());
    item.put("address", process.address());
    item.put("state", process.state().name().toLowerCase(Locale.ROOT));
    return item;
  }
}
