package io.hawthornlb.app.http;

import io.hawthornlb.core.model.Finding;
import java.util.List;

/** Reports whether this instance can accept requests. */
public interface ReadinessSource {

  /** Returns the reasons why the instance cannot accept requests; empty if it is ready. */
  List<Finding> obstacles();
}
