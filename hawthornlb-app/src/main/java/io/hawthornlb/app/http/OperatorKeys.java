package io.hawthornlb.app.http;

import io.micronaut.http.HttpRequest;
import java.util.Set;

/**
 * Recognizes operators by their keys.
 *
 * @param hashes SHA-256 of each key in lower-case hexadecimal
 */
public record OperatorKeys(Set<String> hashes) {

  /** Copies the hashes. */
  public OperatorKeys {
    hashes = Set.copyOf(hashes);
  }

  /** Returns whether a request carries the key of an operator. */
  public boolean allow(HttpRequest<?> request) {
    return Authenticator.bearer(request)
        .map(CatalogueIndex::hash)
        .filter(hashes::contains)
        .isPresent();
  }
}
