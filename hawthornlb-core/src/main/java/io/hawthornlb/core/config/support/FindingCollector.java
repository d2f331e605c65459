package io.hawthornlb.core.config.support;

import io.hawthornlb.core.model.Finding;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Collects the findings about one document. */
final class FindingCollector {

  private final String source;
  private final List<Finding> findings = new ArrayList<>();

  FindingCollector(String source) {
    this.source = source;
  }

  void add(int line, String path, String message) {
    findings.add(new Finding(source, line, path, message));
  }

  boolean isEmpty() {
    return findings.isEmpty();
  }

  /** Returns the findings in the order of their lines. */
  List<Finding> sorted() {
    return findings.stream().sorted(Comparator.comparingInt(Finding::line)).toList();
  }
}
