package io.hawthornlb.standin.load.support;

import java.util.ArrayList;
import java.util.List;

/** Builds the headers that callers send. */
final class Headers {

  private Headers() {}

  /** Returns names and values in turn; a blank key sends no authorization. */
  static List<String> of(String key) {
    List<String> headers = new ArrayList<>(List.of("Content-Type", "application/json"));
    if (!key.isBlank()) {
      headers.add("Authorization");
      headers.add("Bearer " + key);
    }
    return headers;
  }
}
