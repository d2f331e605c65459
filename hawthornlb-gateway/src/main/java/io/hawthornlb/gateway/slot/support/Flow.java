package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.gateway.slot.SlotRequest;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * The requests of a workspace in a data centre, which compete as one with others.
 *
 * @param workspace the workspace; null for anonymous callers
 */
record Flow(String dataCentre, @Nullable WorkspaceId workspace) {

  /** Returns the flow to which a request belongs. */
  static Flow of(SlotRequest request) {
    return new Flow(request.dataCentre(), request.workspace());
  }

  // Written by hand, because the JVM links the generated methods at run time, which takes some
  // milliseconds.
  @Override
  public boolean equals(Object other) {
    return other instanceof Flow flow
        && dataCentre.equals(flow.dataCentre)
        && Objects.equals(workspace, flow.workspace);
  }

  @Override
  public int hashCode() {
    return 31 * dataCentre.hashCode() + Objects.hashCode(workspace);
  }
}
