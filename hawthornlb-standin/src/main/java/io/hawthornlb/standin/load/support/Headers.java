package io.hawthornlb.standin.load.support;

import java.util.ArrayList;
import java.util.List;

/** Builds the HTTP headers of requests. */
final class Headers {

  private Headers() {}

  /** Returns header names and values, alternating; without authorization if the key is blank. */
  static List<String> of(String key) {
    List<String> headers = new ArrayList<>(List.of("Content-Type", "application/json"));
    if (!key.isBlank()) {
      headers.add("Authorization");
      headers.add("Bearer " + key);
    }
    return headers;
  }
}
