package io.hawthornlb.app.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.hawthornlb.app.settings.CatalogueReader;
import io.hawthornlb.app.settings.CatalogueWriter;
import io.hawthornlb.core.catalogue.Catalogue;
import io.hawthornlb.core.catalogue.EditOutcome;
import io.hawthornlb.core.catalogue.EditVerdict;
import io.hawthornlb.core.model.Finding;
import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RefusalReason;
import io.hawthornlb.core.model.RunStatus;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpHeaders;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.Put;
import io.vavr.control.Validation;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** HTTP API by which operators read, check and replace the catalogue. */
@Controller("/v1/catalogue")
@Requires(property = "hawthornlb.role", value = "entry")
public class CatalogueController {

  private static final String SOURCE = "catalogue";
  private static final String AUTHOR_HEADER = "X-Author";
  private static final String UNKNOWN_AUTHOR = "unknown";
  private static final Duration EDIT_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration RETRY_AFTER = Duration.ofSeconds(5);

  private final OperatorKeys operators;
  private final CatalogueSource catalogue;
  private final CatalogueAdmin admin;

  /** Creates the controller. */
  public CatalogueController(
      OperatorKeys operators, CatalogueSource catalogue, CatalogueAdmin admin) {
    this.operators = operators;
    this.catalogue = catalogue;
    this.admin = admin;
  }

  /** Returns the catalogue in force. */
  @Get
  public MutableHttpResponse<?> show(HttpRequest<?> request) {
    if (!operators.allow(request)) {
      return unauthorized();
    }
    Catalogue current = catalogue.current().catalogue();
    return HttpResponse.ok(
        new CurrentCatalogue(current.revision(), new CatalogueWriter().write(current)));
  }

  /**
   * Replaces the catalogue if the revision in the If-Match header is still in force.
   *
   * <p>The body is the whole new catalogue in YAML. If the log does not confirm the edit within 10
   * seconds, the response says that the edit may have taken effect.
   */
  @Put(consumes = MediaType.ALL)
  public CompletionStage<MutableHttpResponse<?>> put(
      HttpRequest<?> request, @Body @Nullable String yaml) {
    if (!operators.allow(request)) {
      return CompletableFuture.completedFuture(unauthorized());
    }
    Optional<Long> baseRevision =
        request
            .getHeaders()
            .findFirst(HttpHeaders.IF_MATCH)
            .flatMap(CatalogueController::parseRevision);
    if (baseRevision.isEmpty()) {
      return CompletableFuture.completedFuture(
          invalid(
              List.of(
                  new Finding(
                      "header", 0, HttpHeaders.IF_MATCH, "give the revision that this rests on"))));
    }
    Validation<List<Finding>, Catalogue> proposed = read(yaml);
    if (proposed.isInvalid()) {
      return CompletableFuture.completedFuture(invalid(proposed.getError()));
    }
    String author = request.getHeaders().findFirst(AUTHOR_HEADER).orElse(UNKNOWN_AUTHOR);
    return admin
        .replace(baseRevision.get(), author, proposed.get())
        .toCompletableFuture()
        .orTimeout(EDIT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        .handle((outcome, failure) -> outcome == null ? outcomeUnknown() : response(outcome));
  }

  /** Checks a catalogue against the one in force without changing anything. */
  @Post(uri = "/check", consumes = MediaType.ALL)
  public MutableHttpResponse<?> check(HttpRequest<?> request, @Body @Nullable String yaml) {
    if (!operators.allow(request)) {
      return unauthorized();
    }
    Validation<List<Finding>, Catalogue> proposed = read(yaml);
    List<Finding> findings = proposed.fold(faults -> faults, admin::check);
    return findings.isEmpty() ? HttpResponse.ok(new CheckPassed(List.of())) : invalid(findings);
  }

  /** Returns the outcomes of the most recent edits. */
  @Get("/history")
  public CompletionStage<MutableHttpResponse<?>> history(HttpRequest<?> request) {
    if (!operators.allow(request)) {
      return CompletableFuture.completedFuture(unauthorized());
    }
    return admin
        .history()
        .thenApply(
            outcomes -> HttpResponse.ok(new History(outcomes.stream().map(Edit::of).toList())));
  }

  private static Validation<List<Finding>, Catalogue> read(@Nullable String yaml) {
    return new CatalogueReader().read(SOURCE, yaml == null ? "" : yaml);
  }

  private static Optional<Long> parseRevision(String text) {
    try {
      return Optional.of(Long.parseLong(text.replace("\"", "").trim()));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  private static MutableHttpResponse<?> response(EditOutcome outcome) {
    if (outcome.verdict() == EditVerdict.ACCEPTED) {
      return HttpResponse.ok(new Accepted(outcome.revision()));
    }
    if (outcome.verdict() == EditVerdict.INVALID) {
      return invalid(outcome.findings());
    }
    String conflict =
        outcome
            .lostTo()
            .map(edit -> "edit " + edit.editId() + " by " + edit.author() + " came first")
            .orElse("another edit came first");
    return ProblemResponses.of(
        Refusal.notRun(
            RefusalReason.KEY_CONFLICT,
            conflict + "; revision " + outcome.revision() + " is in force"));
  }

  private static MutableHttpResponse<?> invalid(List<Finding> findings) {
    return ProblemResponses.of(
            Refusal.notRun(
                    RefusalReason.INVALID_REQUEST,
                    "the catalogue has " + findings.size() + " fault(s); nothing was changed")
                .withFindings(findings))
        .status(422);
  }

  private static MutableHttpResponse<?> outcomeUnknown() {
    Refusal refusal =
        new Refusal(
            RefusalReason.NOT_DURABLE,
            RunStatus.MAY_HAVE_RUN,
            Optional.of(RETRY_AFTER),
            "the log gave no answer; look at the history before another edit",
            List.of());
    return ProblemResponses.of(refusal);
  }

  private static MutableHttpResponse<?> unauthorized() {
    return ProblemResponses.of(
        Refusal.notRun(RefusalReason.UNAUTHORIZED, "give the key of an operator"));
  }

  /**
   * The catalogue in force.
   *
   * @param revision its revision
   * @param yaml its content in the format of a catalogue file
   */
  public record CurrentCatalogue(long revision, String yaml) {}

  /**
   * Response to an accepted edit.
   *
   * @param revision the revision that the edit created
   */
  public record Accepted(long revision) {}

  /**
   * Response to a check that found no faults.
   *
   * @param findings always empty; a catalogue with faults gets a problem document instead
   */
  public record CheckPassed(List<Finding> findings) {}

  /**
   * The most recent edits.
   *
   * @param edits the edits, oldest first
   */
  public record History(List<Edit> edits) {}

  /**
   * The outcome of one edit.
   *
   * @param editId the id of the edit
   * @param author the operator who made the edit
   * @param revision the revision that the edit created, or the one that stayed in force
   * @param verdict {@code accepted}, {@code lost} (another edit came first) or {@code invalid}
   */
  @JsonInclude(JsonInclude.Include.ALWAYS)
  public record Edit(String editId, String author, long revision, String verdict) {

    private static Edit of(EditOutcome outcome) {
      return new Edit(
          outcome.editId(),
          outcome.author(),
          outcome.revision(),
          outcome.verdict().name().toLowerCase(Locale.ROOT));
    }
  }
}
