package io.hawthornlb.core.model;

import io.hawthornlb.core.util.Checks;

/** One HTTP header field. */
public record HeaderField(String name, String value) {

  /** Checks that the name is not blank. */
  public HeaderField {
    Checks.hasText(name, "header name");
  }
}
