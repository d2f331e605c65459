package io.hawthornlb.app.http;

import io.micronaut.http.HttpRequest;
import java.util.Set;

/**
 * Authorizes operators by their bearer keys.
 *
 * @param hashes the SHA-256 digest of each key in lower-case hexadecimal
 */
public record OperatorKeys(Set<String> hashes) {

  /** Creates the set of keys; the hashes are copied. */
  public OperatorKeys {
    hashes = Set.copyOf(hashes);
  }

  /** Returns whether a request carries the bearer key of an operator. */
  public boolean allow(HttpRequest<?> request) {
    return Authenticator.bearer(request)
        .map(CatalogueIndex::hash)
        .filter(hashes::contains)
        .isPresent();
  }
}
