package io.hawthornlb.app.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hawthornlb.app.dispatch.RefusalException;
import io.hawthornlb.app.partition.JobReader;
import io.hawthornlb.app.partition.JobService;
import io.hawthornlb.core.catalogue.WorkspaceEntry;
import io.hawthornlb.core.job.ItemOutcome;
import io.hawthornlb.core.job.ItemStatus;
import io.hawthornlb.core.job.JobPhase;
import io.hawthornlb.core.job.JobStatus;
import io.hawthornlb.core.model.Finding;
import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RefusalReason;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.QueryValue;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.time.format.DateTimeParseException;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** HTTP API by which callers submit, follow and cancel batch jobs. */
@Controller("/v1/jobs")
@Requires(property = "hawthornlb.role", value = "entry")
public class JobsController {

  private static final String NDJSON = "application/x-ndjson";
  private static final String NEXT_CURSOR_HEADER = "Next-Cursor";
  private static final String DUE_HEADER = "Due";
  private static final Duration DEFAULT_DUE = Duration.ofHours(24);
  private static final int SPANS_PER_PAGE = 20;

  private final Authenticator authenticator;
  private final CatalogueSource catalogue;
  private final JobService jobs;
  private final JobReader reader;
  private final ObjectMapper mapper;
  private final InstantSource clock;

  /** Creates the controller. */
  public JobsController(
      Authenticator authenticator,
      CatalogueSource catalogue,
      JobService jobs,
      JobReader reader,
      ObjectMapper mapper,
      InstantSource clock) {
    this.authenticator = authenticator;
    this.catalogue = catalogue;
    this.jobs = jobs;
    this.reader = reader;
    this.mapper = mapper;
    this.clock = clock;
  }

  /**
   * Submits a job and answers 202 once the job is durable.
   *
   * <p>The body has one item per line. A job without a Due header is due 24 hours after its
   * submission.
   */
  @Post(consumes = MediaType.ALL)
  public Publisher<MutableHttpResponse<?>> submit(
      HttpRequest<?> request, @Body Publisher<byte[]> body) {
    Either<Refusal, Instant> due = due(request);
    Optional<String> key =
        request
            .getHeaders()
            .findFirst(ServicesController.IDEMPOTENCY_KEY)
            .filter(value -> !value.isBlank());
    return forWorkspace(
        request,
        workspace ->
            due.isLeft()
                ? Mono.error(new RefusalException(due.getLeft()))
                : jobs.submit(
                        workspace.id(),
                        key,
                        due.get(),
                        catalogue.current().catalogue(),
                        new LineSplitter().lines(Flux.from(body)))
                    .map(id -> HttpResponse.accepted().body(new Accepted(id.value(), "running"))));
  }

  /** Returns the state of a job and the counts of its items. */
  @Get("/{id}")
  public Publisher<MutableHttpResponse<?>> status(HttpRequest<?> request, String id) {
    return forWorkspace(
        request,
        workspace ->
            reader
                .status(workspace.id(), new JobId(id))
                .map(found -> HttpResponse.ok(State.of(found))));
  }

  /**
   * Returns one page of item outcomes, one per line, starting at a cursor.
   *
   * <p>The Next-Cursor header holds the cursor of the next page if there is one.
   */
  @Get(uri = "/{id}/results", produces = MediaType.ALL)
  public Publisher<MutableHttpResponse<?>> results(
      HttpRequest<?> request, String id, @QueryValue(defaultValue = "0") int cursor) {
    return forWorkspace(
        request,
        workspace ->
            reader
                .status(workspace.id(), new JobId(id))
                .flatMap(found -> reader.results(found, Math.max(0, cursor), SPANS_PER_PAGE))
                .map(this::page));
  }

  /** Cancels a job; outcomes that the job already has stay readable. */
  @Post(uri = "/{id}/cancel", consumes = MediaType.ALL)
  public Publisher<MutableHttpResponse<?>> cancel(HttpRequest<?> request, String id) {
    return forWorkspace(
        request,
        workspace ->
            reader
                .status(workspace.id(), new JobId(id))
                .flatMap(found -> jobs.cancel(workspace.id(), found.header().id()))
                .map(
                    answer ->
                        HttpResponse.ok(
                            new Accepted(id, answer.kind().name().toLowerCase(Locale.ROOT)))));
  }

  private Mono<MutableHttpResponse<?>> forWorkspace(
      HttpRequest<?> request,
      Function<WorkspaceEntry, Mono<? extends MutableHttpResponse<?>>> action) {
    return authenticator
        .workspace(request)
        .<Mono<MutableHttpResponse<?>>>fold(
            refusal -> Mono.just(ProblemResponses.of(refusal)),
            workspace ->
                action
                    .apply(workspace)
                    .<MutableHttpResponse<?>>map(response -> response)
                    .onErrorResume(error -> Mono.just(ProblemResponses.of(error))));
  }

  private Either<Refusal, Instant> due(HttpRequest<?> request) {
    String text = request.getHeaders().get(DUE_HEADER);
    if (text == null) {
      return Either.right(clock.instant().plus(DEFAULT_DUE));
    }
    try {
      return Either.right(Instant.parse(text));
    } catch (DateTimeParseException e) {
      return Either.left(
          Refusal.notRun(RefusalReason.INVALID_REQUEST, "the request has 1 fault(s)")
              .withFindings(
                  List.of(
                      new Finding(
                          "header",
                          0,
                          DUE_HEADER,
                          "expected a time such as 2026-05-01T04:00:00Z"))));
    }
  }

  private MutableHttpResponse<?> page(JobReader.Page page) {
    StringBuilder lines = new StringBuilder();
    page.outcomes().forEach(outcome -> lines.append(line(outcome)).append('\n'));
    MutableHttpResponse<?> response = HttpResponse.ok(lines.toString()).contentType(NDJSON);
    page.next().ifPresent(next -> response.header(NEXT_CURSOR_HEADER, Integer.toString(next)));
    return response;
  }

  private String line(ItemOutcome outcome) {
    ObjectNode node = mapper.createObjectNode();
    node.put("custom_id", outcome.customId());
    node.put("status", outcome.status().name().toLowerCase(Locale.ROOT));
    node.set("response", outcome.status() == ItemStatus.COMPLETED ? body(outcome) : null);
    node.put("error", outcome.status() == ItemStatus.FAILED ? outcome.cause() : null);
    return node.toString();
  }

  private JsonNode body(ItemOutcome outcome) {
    try {
      return mapper.readTree(outcome.result());
    } catch (JsonProcessingException e) {
      return mapper.getNodeFactory().textNode(outcome.result());
    }
  }

  /**
   * Response to a submission or a cancellation.
   *
   * @param id the id of the job
   * @param status {@code running} after a submission; the result of a cancellation otherwise
   */
  public record Accepted(String id, String status) {}

  /**
   * The state of a job.
   *
   * @param id the id of the job
   * @param status {@code running}, {@code completed} or {@code cancelled}
   * @param due the time by which the results are needed
   * @param counts the numbers of its items by state
   */
  public record State(String id, String status, String due, Counts counts) {

    private static State of(JobStatus status) {
      int total = status.header().items();
      int open = total - status.completed() - status.failed();
      boolean cancelled = status.phase() == JobPhase.CANCELLED;
      return new State(
          status.header().id().value(),
          status.phase() == JobPhase.ENDED
              ? "completed"
              : status.phase().name().toLowerCase(Locale.ROOT),
          status.header().due().toString(),
          new Counts(total, status.completed(), status.failed(), cancelled ? open : 0));
    }
  }

  /**
   * Numbers of the items of a job.
   *
   * @param total all items
   * @param completed items with a result
   * @param failed items that failed for good
   * @param cancelled items without an outcome if the job is cancelled, otherwise 0
   */
  public record Counts(int total, int completed, int failed, int cancelled) {}
}
