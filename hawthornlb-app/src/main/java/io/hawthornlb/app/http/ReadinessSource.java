package io.hawthornlb.app.http;

import io.hawthornlb.core.model.Finding;
import java.util.List;

/** Tells whether this instance can take requests. */
public interface ReadinessSource {

  /** Returns what keeps the instance from taking requests; empty when it is ready. */
  List<Finding> obstacles();
}
