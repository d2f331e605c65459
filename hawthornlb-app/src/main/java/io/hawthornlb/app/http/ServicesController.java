package io.hawthornlb.app.http;

import io.hawthornlb.app.dispatch.PlainCall;
import io.hawthornlb.app.dispatch.PlainService;
import io.hawthornlb.core.catalogue.ServiceEntry;
import io.hawthornlb.core.catalogue.ServiceKind;
import io.hawthornlb.core.catalogue.WorkspaceEntry;
import io.hawthornlb.core.model.Finding;
import io.hawthornlb.core.model.HeaderField;
import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RefusalReason;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.net.endpoint.EndpointResponse;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpHeaders;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Delete;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Head;
import io.micronaut.http.annotation.Patch;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.Put;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;

/** HTTP API that forwards requests to services of kind plain. */
@Controller("/services")
@Requires(property = "hawthornlb.role", value = "entry")
public class ServicesController {

  /** The header whose value identifies a request that must run at most once. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  private static final int MAX_KEY_LENGTH = 255;
  private static final String PREFIX = "/services/";
  private static final String SERVICE_ROOT = "/{service}";
  private static final String SERVICE_PATH = "/{service}/{+rest}";
  private static final Set<String> HEADERS_NOT_FORWARDED =
      Set.of(
          "authorization",
          "connection",
          "content-length",
          "expect",
          "host",
          "keep-alive",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade");

  private final Authenticator authenticator;
  private final CatalogueSource catalogue;
  private final PlainService services;

  /** Creates the controller. */
  public ServicesController(
      Authenticator authenticator, CatalogueSource catalogue, PlainService services) {
    this.authenticator = authenticator;
    this.catalogue = catalogue;
    this.services = services;
  }

  /** Forwards a GET request to the service. */
  @Get(
      uris = {SERVICE_ROOT, SERVICE_PATH},
      produces = MediaType.ALL)
  public Publisher<MutableHttpResponse<?>> read(HttpRequest<?> request, String service) {
    return forward(request, service, null);
  }

  /** Forwards a HEAD request to the service. */
  @Head(uris = {SERVICE_ROOT, SERVICE_PATH})
  public Publisher<MutableHttpResponse<?>> head(HttpRequest<?> request, String service) {
    return forward(request, service, null);
  }

  /** Forwards a POST request to the service. */
  @Post(
      uris = {SERVICE_ROOT, SERVICE_PATH},
      consumes = MediaType.ALL,
      produces = MediaType.ALL)
  public Publisher<MutableHttpResponse<?>> post(
      HttpRequest<?> request, String service, @Body @Nullable byte[] body) {
    return forward(request, service, body);
  }

  /** Forwards a PUT request to the service. */
  @Put(
      uris = {SERVICE_ROOT, SERVICE_PATH},
      consumes = MediaType.ALL,
      produces = MediaType.ALL)
  public Publisher<MutableHttpResponse<?>> put(
      HttpRequest<?> request, String service, @Body @Nullable byte[] body) {
    return forward(request, service, body);
  }

  /** Forwards a PATCH request to the service. */
  @Patch(
      uris = {SERVICE_ROOT, SERVICE_PATH},
      consumes = MediaType.ALL,
      produces = MediaType.ALL)
  public Publisher<MutableHttpResponse<?>> patch(
      HttpRequest<?> request, String service, @Body @Nullable byte[] body) {
    return forward(request, service, body);
  }

  /** Forwards a DELETE request to the service. */
  @Delete(
      uris = {SERVICE_ROOT, SERVICE_PATH},
      consumes = MediaType.ALL,
      produces = MediaType.ALL)
  public Publisher<MutableHttpResponse<?>> delete(
      HttpRequest<?> request, String service, @Body @Nullable byte[] body) {
    return forward(request, service, body);
  }

  private Publisher<MutableHttpResponse<?>> forward(
      HttpRequest<?> request, String service, byte @Nullable [] body) {
    Either<Refusal, PlainCall> call =
        authenticator
            .workspace(request)
            .flatMap(
                workspace -> call(request, workspace, service, body == null ? new byte[0] : body));
    if (call.isLeft()) {
      return Mono.just(ProblemResponses.of(call.getLeft()));
    }
    return services
        .call(call.get())
        .<MutableHttpResponse<?>>map(ServicesController::response)
        .onErrorResume(error -> Mono.just(ProblemResponses.of(error)));
  }

  private Either<Refusal, PlainCall> call(
      HttpRequest<?> request, WorkspaceEntry workspace, String name, byte[] body) {
    Optional<ServiceEntry> service =
        catalogue
            .current()
            .catalogue()
            .service(new ServiceName(name))
            .filter(entry -> entry.kind() == ServiceKind.PLAIN);
    if (service.isEmpty()) {
      return Either.left(Refusal.notRun(RefusalReason.NOT_FOUND, "no service named " + name));
    }
    if (body.length > service.get().limits().bodyBytes()) {
      return Either.left(Refusal.notRun(RefusalReason.TOO_LARGE, "the body is over the limit"));
    }
    List<String> keys = request.getHeaders().getAll(IDEMPOTENCY_KEY);
    Optional<Finding> fault = idempotencyKeyFault(keys);
    if (fault.isPresent()) {
      return Either.left(
          Refusal.notRun(RefusalReason.INVALID_REQUEST, "the request has 1 fault(s)")
              .withFindings(List.of(fault.get())));
    }
    return Either.right(
        new PlainCall(
            workspace,
            service.get(),
            request.getMethodName(),
            uriWithinService(request, name),
            headers(request),
            keys.stream().findFirst(),
            body));
  }

  private static Optional<Finding> idempotencyKeyFault(List<String> keys) {
    boolean valid =
        keys.isEmpty()
            || (keys.size() == 1
                && !keys.get(0).isBlank()
                && keys.get(0).length() <= MAX_KEY_LENGTH);
    String message = "expected one value of 1 to " + MAX_KEY_LENGTH + " characters";
    return valid
        ? Optional.empty()
        : Optional.of(new Finding("header", 0, IDEMPOTENCY_KEY, message));
  }

  private static String uriWithinService(HttpRequest<?> request, String service) {
    String path = request.getUri().getRawPath();
    int start = path.indexOf('/', PREFIX.length());
    String relativePath = start < 0 ? "/" : path.substring(start);
    String query = request.getUri().getRawQuery();
    return query == null ? relativePath : relativePath + "?" + query;
  }

  private static List<HeaderField> headers(HttpRequest<?> request) {
    List<HeaderField> fields = new ArrayList<>();
    request
        .getHeaders()
        .forEach(
            (name, values) -> {
              if (!HEADERS_NOT_FORWARDED.contains(name.toLowerCase(Locale.ROOT))) {
                values.forEach(value -> fields.add(new HeaderField(name, value)));
              }
            });
    return fields;
  }

  private static MutableHttpResponse<?> response(EndpointResponse answer) {
    MutableHttpResponse<byte[]> response = HttpResponse.status(answer.status(), "");
    for (HeaderField field : answer.headers()) {
      response.header(field.name(), field.value());
    }
    if (!response.getHeaders().contains(HttpHeaders.CONTENT_TYPE)) {
      response.contentType(MediaType.APPLICATION_OCTET_STREAM_TYPE);
    }
    return response.body(answer.body());
  }
}
