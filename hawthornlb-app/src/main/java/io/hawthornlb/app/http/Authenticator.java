package io.hawthornlb.app.http;

import io.hawthornlb.core.catalogue.WorkspaceEntry;
import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RefusalReason;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpHeaders;
import io.micronaut.http.HttpRequest;
import io.vavr.control.Either;
import jakarta.inject.Singleton;
import java.util.Optional;

/** Authenticates a request: maps its bearer key to the workspace that owns the key. */
@Singleton
@Requires(property = "hawthornlb.role", value = "entry")
public class Authenticator {

  private static final String SCHEME = "Bearer ";

  private final CatalogueSource catalogue;

  /** Creates an authenticator that looks keys up in the catalogue in force. */
  public Authenticator(CatalogueSource catalogue) {
    this.catalogue = catalogue;
  }

  /** Returns the workspace of the request, or a refusal if the key is missing or unknown. */
  public Either<Refusal, WorkspaceEntry> workspace(HttpRequest<?> request) {
    return bearer(request)
        .flatMap(key -> catalogue.current().workspaceOfKey(key))
        .<Either<Refusal, WorkspaceEntry>>map(Either::right)
        .orElseGet(() -> Either.left(unauthorized()));
  }

  /** Returns the bearer key of a request; empty if the Authorization header carries none. */
  public static Optional<String> bearer(HttpRequest<?> request) {
    return Optional.ofNullable(request.getHeaders().get(HttpHeaders.AUTHORIZATION))
        .filter(value -> value.regionMatches(true, 0, SCHEME, 0, SCHEME.length()))
        .map(value -> value.substring(SCHEME.length()).trim());
  }

  private static Refusal unauthorized() {
    return Refusal.notRun(
        RefusalReason.UNAUTHORIZED, "give a key of a workspace as Authorization: Bearer KEY");
  }
}
